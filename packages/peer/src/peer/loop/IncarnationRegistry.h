#pragma once

#include "core/id/Ids.h"
#include "peer/message/PeerIdentity.h"

#include <cstddef>
#include <map>
#include <mutex>

namespace carawaypond::peer {

/// @brief The latest connected incarnation of each VM, over all connections to
/// this node. May be used from any thread.
class IncarnationRegistry {
public:
  /// @brief Notes a connection of @p Peer.
  /// @return False when a later incarnation of that VM is connected.
  [[nodiscard]] bool admit(const PeerIdentity &Peer);
  /// @brief Notes the end of a connection that was admitted.
  void release(const PeerIdentity &Peer);

private:
  struct Entry {
    Incarnation Latest;
    std::size_t Connections = 0;
  };

  std::mutex m_Mutex;
  std::map<VmName, Entry> m_Entries;
};

} // namespace carawaypond::peer

#pragma once

#include "core/id/Ids.h"
#include "peer/message/PeerIdentity.h"

#include <cstddef>
#include <map>
#include <mutex>

namespace carawaypond::peer {

/// @brief Tracks the latest connected incarnation of each VM over all inbound
/// connections of this node. Thread-safe.
class IncarnationRegistry {
public:
  /// @brief Registers a connection of @p Peer.
  /// @return False if a later incarnation of that VM is connected.
  [[nodiscard]] bool admit(const PeerIdentity &Peer);
  /// @brief Unregisters a connection that admit() accepted.
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

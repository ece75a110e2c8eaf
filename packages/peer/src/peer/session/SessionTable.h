#pragma once

#include "core/time/Time.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/session/PeerSession.h"

#include <kj/async-io.h>
#include <kj/async.h>

#include <memory>
#include <vector>

namespace carawaypond::peer {

/// @brief Inbound RPC connections from peers.
class SessionTable {
public:
  explicit SessionTable(LoopContext &Context);

  /// @brief Adds a new connection, or closes it if the limit is reached.
  void add(kj::Own<kj::AsyncIoStream> Stream);
  /// @brief Admits a peer on its hello and closes the sessions of its earlier
  /// incarnations.
  /// @return False if a later incarnation of that VM is connected.
  [[nodiscard]] bool admit(const PeerIdentity &Peer);
  /// @brief Removes closed sessions and those whose hello timeout has expired.
  /// Must not be called from within a session.
  void sweep(TimePoint Now);
  /// @brief Closes all sessions. Must not be called from within a session.
  void closeAll();

private:
  LoopContext &m_Context;
  std::vector<std::unique_ptr<PeerSession>> m_Sessions;
};

} // namespace carawaypond::peer

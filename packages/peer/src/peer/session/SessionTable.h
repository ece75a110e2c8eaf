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

/// @brief The connections that peers opened to this node.
class SessionTable {
public:
  explicit SessionTable(LoopContext &Context);

  /// @brief Takes over a new connection, or closes it when there are too many.
  void add(kj::Own<kj::AsyncIoStream> Stream);
  /// @brief Decides whether a peer may introduce itself. Sessions of its
  /// former incarnations are closed.
  /// @return False when a later incarnation of that VM is connected.
  [[nodiscard]] bool admit(const PeerIdentity &Peer);
  /// @brief Removes closed sessions and those that never said hello. Must not
  /// be called from within a session.
  void sweep(TimePoint Now);
  /// @brief Closes all; the same holds.
  void closeAll();

private:
  LoopContext &m_Context;
  std::vector<std::unique_ptr<PeerSession>> m_Sessions;
};

} // namespace carawaypond::peer

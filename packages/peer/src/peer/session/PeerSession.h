#pragma once

#include "core/time/Time.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/schema/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <optional>

namespace carawaypond::peer {

class SessionTable;

/// @brief A connection that a peer opened to this node.
class PeerSession final : private kj::TaskSet::ErrorHandler {
public:
  PeerSession(LoopContext &Context, SessionTable &Table,
              kj::Own<kj::AsyncIoStream> Stream);
  ~PeerSession() noexcept(false);
  PeerSession(const PeerSession &) = delete;
  PeerSession &operator=(const PeerSession &) = delete;

  /// @return Who is at the other end, once it said hello.
  [[nodiscard]] const std::optional<PeerIdentity> &peer() const {
    return m_Peer;
  }
  [[nodiscard]] bool closed() const { return m_Closed; }
  /// @return True when the time for the hello is over without one.
  [[nodiscard]] bool overdue(TimePoint Now) const;
  /// @brief Notes who is at the other end.
  void introduce(PeerIdentity Peer);
  /// @brief Ends the connection and marks the session for removal.
  void close();

private:
  using RpcSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

  void taskFailed(kj::Exception &&Cause) override;

  LoopContext &m_Context;
  TimePoint m_HelloBy;
  bool m_Closed = false;
  std::optional<PeerIdentity> m_Peer;
  kj::Own<kj::AsyncIoStream> m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  RpcSystem m_Rpc;
  kj::TaskSet m_Tasks;
};

} // namespace carawaypond::peer

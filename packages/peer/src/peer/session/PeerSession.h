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

/// @brief Inbound RPC connection from a peer.
class PeerSession final : private kj::TaskSet::ErrorHandler {
public:
  PeerSession(LoopContext &Context, SessionTable &Table,
              kj::Own<kj::AsyncIoStream> Stream);
  ~PeerSession() noexcept(false);
  PeerSession(const PeerSession &) = delete;
  PeerSession &operator=(const PeerSession &) = delete;

  /// @return The peer's identity; unset until its hello was accepted.
  [[nodiscard]] const std::optional<PeerIdentity> &peer() const {
    return m_Peer;
  }
  [[nodiscard]] bool isClosed() const { return m_Closed; }
  /// @return True if the hello timeout has expired without an accepted hello.
  [[nodiscard]] bool isHelloOverdue(TimePoint Now) const;
  /// @brief Stores the peer's identity after its hello was accepted.
  void setPeer(PeerIdentity Peer);
  /// @brief Closes the connection and marks the session for removal.
  void close();

private:
  using RpcSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

  void taskFailed(kj::Exception &&Cause) override;

  LoopContext &m_Context;
  TimePoint m_HelloDeadline;
  bool m_Closed = false;
  std::optional<PeerIdentity> m_Peer;
  kj::Own<kj::AsyncIoStream> m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  RpcSystem m_Rpc;
  kj::TaskSet m_Tasks;
};

} // namespace carawaypond::peer

#pragma once

#include "coordination/membership/Digest.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/message/StoredObject.h"
#include "peer/schema/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Outgoing RPC connection to a peer. A failed call returns Unavailable
/// if the peer refused it, otherwise ConnectionLost: the peer may have received
/// it.
class PeerConnection {
public:
  PeerConnection(LoopContext &Context, kj::Own<kj::AsyncIoStream> Stream);

  /// @return Resolves when the connection is closed.
  [[nodiscard]] kj::Promise<void> onDisconnect();

  [[nodiscard]] kj::Promise<Result<PeerIdentity>> hello();
  [[nodiscard]] kj::Promise<Result<Digest>> exchange(const Digest &Own);
  [[nodiscard]] kj::Promise<Result<std::vector<StoredObject>>>
  fetchServices(const std::vector<std::string> &Names);
  [[nodiscard]] kj::Promise<Result<std::vector<StoredObject>>>
  fetchIndexes(const std::vector<std::string> &Names);
  [[nodiscard]] kj::Promise<Result<PeerQueryAnswer>>
  query(Incarnation Expected, const PeerQuery &Query);

private:
  using RpcSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

  [[nodiscard]] wire::Peer::Client bootstrap();

  LoopContext &m_Context;
  kj::Own<kj::AsyncIoStream> m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  RpcSystem m_Rpc;
  wire::Peer::Client m_Remote;
};

} // namespace carawaypond::peer

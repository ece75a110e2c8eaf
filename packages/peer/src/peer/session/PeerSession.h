#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "peer/loop/LoopContext.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/schema/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_set>
#include <vector>

namespace carawaypond::peer {

class SessionTable;

/// @brief A connection that a peer opened to this node.
class PeerSession final : private kj::TaskSet::ErrorHandler {
public:
  PeerSession(LoopContext &Context, SessionTable &Table, std::uint64_t Number,
              kj::Own<kj::AsyncIoStream> Stream);
  ~PeerSession() noexcept(false);
  PeerSession(const PeerSession &) = delete;
  PeerSession &operator=(const PeerSession &) = delete;

  [[nodiscard]] std::uint64_t number() const { return m_Number; }
  /// @return Who is at the other end, once it said hello.
  [[nodiscard]] const std::optional<PeerIdentity> &peer() const {
    return m_Peer;
  }
  [[nodiscard]] bool closed() const { return m_Closed; }
  /// @return True when the time for the hello is over without one.
  [[nodiscard]] bool overdue(TimePoint Now) const;
  /// @return Whether the session may take over that many subrequests more.
  [[nodiscard]] bool hasRoomFor(std::size_t Subrequests) const;

  /// @brief Notes who is at the other end and where its results go.
  void introduce(PeerIdentity Peer, wire::ResultSink::Client Sink);
  /// @brief Notes subrequests as owed a result.
  /// @return False, and notes none, when one of them already is.
  [[nodiscard]] bool accept(const std::vector<PeerSubrequest> &Batch);
  /// @brief Queues a result for the next flush().
  void addResult(PeerResult Result);
  /// @brief Sends the queued results.
  void flush();
  /// @brief Marks the session for removal; the daemon drops what it owes.
  void close();

private:
  using RpcSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

  void send(std::size_t First, std::size_t Last);
  void taskFailed(kj::Exception &&Cause) override;

  LoopContext &m_Context;
  SessionTable &m_Table;
  std::uint64_t m_Number;
  TimePoint m_HelloBy;
  bool m_Closed = false;
  std::optional<PeerIdentity> m_Peer;
  std::optional<wire::ResultSink::Client> m_Sink;
  std::unordered_set<SubrequestId> m_Owed;
  std::vector<PeerResult> m_Results;
  kj::Own<kj::AsyncIoStream> m_Stream;
  capnp::TwoPartyVatNetwork m_Network;
  RpcSystem m_Rpc;
  kj::TaskSet m_Tasks;
};

} // namespace carawaypond::peer

#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/schema/Peer.capnp.h"
#include "peer/traffic/FrameChannel.h"
#include "peer/traffic/TrafficContext.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace carawaypond::peer {

/// @brief Inbound traffic connection from a coordinator.
class TrafficSession : public std::enable_shared_from_this<TrafficSession> {
public:
  /// Called when a peer was admitted, so that the sessions of its earlier
  /// incarnations can be closed.
  using OnAdmitted = std::function<void(const PeerIdentity &)>;

  TrafficSession(std::shared_ptr<TrafficContext> Context,
                 boost::asio::ip::tcp::socket Socket, OnAdmitted Admitted);

  [[nodiscard]] const std::optional<PeerIdentity> &peer() const {
    return m_Peer;
  }
  [[nodiscard]] bool isClosed() const { return m_Closed; }

  void start();
  /// @brief Closes the session if the hello timeout has expired.
  void sweep(TimePoint Now);
  /// @brief Closes the connection. Subrequests without a result are passed to
  /// the OnCancel handler.
  void close();

private:
  void onMessage(wire::TrafficMessage::Reader Message);
  void onHello(wire::Identity::Reader From);
  void onRun(wire::TrafficMessage::Run::Reader Run);
  void onCancel(capnp::List<std::uint64_t>::Reader Ids);
  [[nodiscard]] Result<void>
  checkBatch(std::uint64_t Expected,
             const Result<std::vector<PeerSubrequest>> &Batch);
  [[nodiscard]] bool reserveIds(const std::vector<PeerSubrequest> &Batch);
  void refuse(std::uint64_t Number, const std::string &Reason);
  [[nodiscard]] ResultSink makeSink();
  void addResult(PeerResult Result);
  void flush();
  void send(std::size_t First, std::size_t Last);

  std::shared_ptr<TrafficContext> m_Context;
  std::shared_ptr<FrameChannel> m_Channel;
  OnAdmitted m_OnAdmitted;
  TimePoint m_HelloDeadline;
  bool m_Closed = false;
  std::optional<PeerIdentity> m_Peer;
  std::unordered_set<SubrequestId> m_OutstandingIds;
  std::vector<PeerResult> m_Results; ///< Sent by the next flush().
};

} // namespace carawaypond::peer

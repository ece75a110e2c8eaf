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

/// @brief A traffic connection that a coordinator opened to this node.
class TrafficSession : public std::enable_shared_from_this<TrafficSession> {
public:
  /// Told of a peer that was admitted, so that its predecessors can be closed.
  using OnAdmitted = std::function<void(const PeerIdentity &)>;

  TrafficSession(std::shared_ptr<TrafficContext> Context,
                 boost::asio::ip::tcp::socket Socket, OnAdmitted Admitted);

  [[nodiscard]] const std::optional<PeerIdentity> &peer() const {
    return m_Peer;
  }
  [[nodiscard]] bool closed() const { return m_Closed; }

  void start();
  /// @brief Closes the session when the time for its hello is over.
  void sweep(TimePoint Now);
  /// @brief Ends the connection; the daemon drops what it owes.
  void close();

private:
  void onMessage(wire::TrafficMessage::Reader Message);
  void onHello(wire::Identity::Reader From);
  void onRun(wire::TrafficMessage::Run::Reader Run);
  void onCancel(capnp::List<std::uint64_t>::Reader Ids);
  [[nodiscard]] Result<void>
  checkBatch(std::uint64_t Expected,
             const Result<std::vector<PeerSubrequest>> &Batch);
  [[nodiscard]] bool accept(const std::vector<PeerSubrequest> &Batch);
  void refuse(std::uint64_t Number, const std::string &Reason);
  [[nodiscard]] ResultSink makeSink();
  void addResult(PeerResult Result);
  void flush();
  void send(std::size_t First, std::size_t Last);

  std::shared_ptr<TrafficContext> m_Context;
  std::shared_ptr<FrameChannel> m_Channel;
  OnAdmitted m_Admitted;
  TimePoint m_HelloBy;
  bool m_Closed = false;
  std::optional<PeerIdentity> m_Peer;
  std::unordered_set<SubrequestId> m_Owed;
  std::vector<PeerResult> m_Results; ///< Sent by the next flush().
};

} // namespace carawaypond::peer

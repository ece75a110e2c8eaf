#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "peer/link/Backoff.h"
#include "peer/link/RunTable.h"
#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/node/RunObserver.h"
#include "peer/schema/Peer.capnp.h"
#include "peer/traffic/FrameChannel.h"
#include "peer/traffic/TrafficContext.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Traffic client for one owner's address. Connects when there are
/// subrequests to send. After a failure, refuses subrequests until the backoff
/// has expired.
class TrafficLink : public std::enable_shared_from_this<TrafficLink> {
public:
  TrafficLink(TrafficContext &Context, std::string Address);

  /// @return True if the link is neither connected nor connecting nor in
  /// backoff, so that it can be removed and created again.
  [[nodiscard]] bool isIdle(TimePoint Now) const;

  void run(Incarnation Expected, std::vector<PeerSubrequest> Batch,
           RunObserver Observer);
  void cancel(const std::vector<SubrequestId> &Ids);
  /// @brief Fails expired runs and a connection attempt that timed out.
  void sweep(TimePoint Now);
  /// @brief Closes the connection. Outstanding subrequests are reported as lost
  /// with ConnectionLost: they may run.
  void drop(const std::string &Reason);

private:
  struct WaitingRun {
    Incarnation Expected;
    std::vector<PeerSubrequest> Batch;
    RunObserver Observer;
  };

  [[nodiscard]] Result<void> checkConnectable(TimePoint Now);
  [[nodiscard]] Result<void> checkBatch(const WaitingRun &Run);
  [[nodiscard]] TimePoint
  expiryOf(const std::vector<PeerSubrequest> &Batch) const;

  void connect();
  void onConnected();
  void sendHello();
  void onMessage(wire::TrafficMessage::Reader Message);
  void onWelcome(wire::TrafficMessage::Welcome::Reader Welcome);
  void onResults(capnp::List<wire::SubrequestResult>::Reader Results);
  void onRefused(wire::TrafficMessage::Refused::Reader Refused);
  void sendOrRefuse(WaitingRun Run);
  void send(WaitingRun Run);
  void failConnecting(const std::string &Reason);

  TrafficContext &m_Context;
  std::string m_Address;
  Backoff m_Backoff;
  TimePoint m_RetryAt;
  std::vector<WaitingRun> m_Waiting; ///< Sent once connected.
  RunTable m_Runs;
  std::optional<TimePoint> m_ConnectDeadline; ///< Set while connecting.
  std::optional<PeerIdentity> m_Peer;         ///< Set while connected.
  std::shared_ptr<boost::asio::ip::tcp::socket> m_Connecting;
  std::shared_ptr<FrameChannel> m_Channel;
};

} // namespace carawaypond::peer

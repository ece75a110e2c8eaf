#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/quarantine/RequestQuarantine.h"
#include "coordination/run/RequestRun.h"
#include "gateway/log/EventLog.h"
#include "gateway/metrics/LatencyMetrics.h"
#include "gateway/pool/Exchange.h"
#include "gateway/traffic/AttemptState.h"
#include "gateway/traffic/LivenessChecker.h"
#include "gateway/traffic/ReplicaLinks.h"
#include "gateway/traffic/TrafficCounters.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace carawaypond::gateway {

/// @brief Objects of the traffic thread that all requests share.
struct SharedResources {
  boost::asio::io_context &Context;
  ReplicaFleet &Fleet;
  ReplicaLinks &Links;
  TrafficCounters &Counters;
  LatencyMetrics &Latencies;
  EventLog &Log;
  RequestQuarantine &Quarantine;
  LivenessChecker &Liveness;
  /// Called when a replica has ended under a request, with whether that begins
  /// a quarantine.
  std::function<void(bool)> OnReplicaEnded;
};

/// @brief One request of a caller: carries out the actions that its RequestRun
/// decides on.
///
/// Lives until its last attempt has ended, which may be after the answer.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(SharedResources Parts, adapter::CallerRequest Asked,
                RunPlan Plan, SubrequestId FirstId, const RunOptions &Options);

  /// @return The maximum number of attempts.
  [[nodiscard]] std::size_t maxAttempts() const { return m_Run.maxAttempts(); }

  /// @return See RequestRun::loadSample().
  [[nodiscard]] const std::optional<LoadSample> &loadSample() const {
    return m_Run.loadSample();
  }

  /// @brief Runs the request.
  /// @return The answer; not sent to anyone if the caller has disconnected.
  boost::asio::awaitable<http::Response> run();
  /// @brief Ends the request with an answer, as this VM exits.
  void stop();

private:
  [[nodiscard]] AttemptState *find(SubrequestId Id);

  void apply(const RunActions &Actions);
  void apply(const StartAttempt &Action);
  void apply(const AbandonAttempt &Action);
  void apply(const AnswerParts &Action);
  void apply(const RelayReply &Action);
  void apply(const RefuseRequest &Action);
  void apply(const FailRequest &Action);
  /// @return The attempt's subrequest as it is to be sent now.
  /// @param On The connection that it is sent on.
  adapter::EncodedSubrequest compose(SubrequestId Id, ConnectionNumber On);
  /// @brief Takes in what the attempt's replica says about itself.
  void onNotice(const AttemptState &Attempt, const ReplicaNotice &Told);
  void onExchange(SubrequestId Id, ExchangeResult How);
  /// @brief Finds out whether the attempt's replica, which closed its
  /// connection, has ended.
  void checkLiveness(const AttemptState &Attempt);
  /// @brief Handles a replica that ended at @p At while it ran the request.
  void onReplicaEnded(const ServerName &Replica, std::int64_t StartedAt,
                      TimePoint At);
  /// @return Whether a replica lived on after it ran the request.
  [[nodiscard]] bool wasSurvived() const;
  /// @brief Counts an answer that cost too much work, and logs its replica.
  void onOverWork(const AttemptState &Attempt);
  /// @brief Frees what a merged answer does not need of a shard's answer.
  void shorten(adapter::ReplicaReply &Reply) const;
  void end(SubrequestId Id, AttemptResult How);
  void abandonExpired(TimePoint Now);
  void onCallerGone();
  void answer(http::Response Response);
  void schedule();
  void onTimer();
  /// @brief Records the latency of a success; logs it if it missed the route's
  /// latency objective or is sampled.
  void recordSuccess();
  /// @brief Writes the request's log line.
  void logOutcome(std::string_view Outcome, std::string_view Reason);

  SharedResources m_Shared;
  adapter::CallerRequest m_Asked;
  RequestRun m_Run;
  std::vector<AttemptState> m_Attempts;
  boost::asio::steady_timer m_Timer;
  /// Never expires; cancelled when the answer is set, which resumes run().
  boost::asio::steady_timer m_Answered;
  std::optional<http::Response> m_Answer;
};

} // namespace carawaypond::gateway

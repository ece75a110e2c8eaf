#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/run/RequestRun.h"
#include "gateway/log/EventLog.h"
#include "gateway/metrics/LatencyBook.h"
#include "gateway/pool/Exchange.h"
#include "gateway/traffic/AttemptState.h"
#include "gateway/traffic/ReplicaLinks.h"
#include "gateway/traffic/TrafficCounters.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace carawaypond::gateway {

/// @brief What requests share on the traffic thread.
struct TrafficParts {
  boost::asio::io_context &Context;
  ReplicaFleet &Fleet;
  ReplicaLinks &Links;
  TrafficCounters &Counters;
  LatencyBook &Latencies;
  EventLog &Log;
};

/// @brief One request of a caller: does what its RequestRun decides.
///
/// Lives until its last attempt has ended, which may be after the answer.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(TrafficParts Parts, adapter::CallerRequest Asked, RunPlan Plan,
                SubrequestId FirstId, const RunOptions &Options);

  /// @return The greatest number of attempts that it can make.
  [[nodiscard]] std::size_t maxAttempts() const { return m_Run.maxAttempts(); }

  /// @brief Runs the request.
  /// @return The answer; of no use to anyone if the caller has left.
  boost::asio::awaitable<http::Response> run();

private:
  [[nodiscard]] AttemptState *find(SubrequestId Id);

  void apply(const RunActions &Actions);
  void apply(const StartAttempt &Action);
  void apply(const AbandonAttempt &Action);
  void apply(const AnswerParts &Action);
  void apply(const RelayReply &Action);
  void apply(const RefuseRequest &Action);
  void apply(const FailRequest &Action);
  /// @brief Notes when the attempt left, and tells if its replica had left.
  void onWritten(SubrequestId Id);
  void onExchange(SubrequestId Id, ExchangeResult How);
  void end(SubrequestId Id, AttemptResult How);
  void abandonOverdue(TimePoint Now);
  void onCallerGone();
  void answer(http::Response Response);
  void schedule();
  void onTimer();
  /// @brief Logs a success that came late or is sampled, and its latency.
  void noteSuccess();
  void explain(std::string_view Outcome, std::string_view Reason);

  TrafficParts m_Parts;
  adapter::CallerRequest m_Asked;
  RequestRun m_Run;
  TimePoint m_StartedAt;
  std::vector<AttemptState> m_Attempts;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_Answered; ///< Cancelled by the answer.
  std::optional<http::Response> m_Answer;
};

} // namespace carawaypond::gateway

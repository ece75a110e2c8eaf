#pragma once

#include "adapter/CallerRequest.h"
#include "coordination/placement/ReplicaFleet.h"
#include "coordination/refusal/RetryAdvice.h"
#include "coordination/routing/WeightedPicker.h"
#include "coordination/run/RequestRun.h"
#include "core/outcome/Result.h"
#include "gateway/log/EventLog.h"
#include "gateway/metrics/LatencyBook.h"
#include "gateway/traffic/CallerPatience.h"
#include "gateway/traffic/ReplicaLinks.h"
#include "gateway/traffic/TrafficCounters.h"
#include "gateway/traffic/TrafficOptions.h"
#include "gateway/traffic/TrafficView.h"
#include "gateway/traffic/VerdictLog.h"
#include "http/Listener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace carawaypond::gateway {

/// @brief Takes callers' requests and answers them from the replicas. Belongs
/// to the traffic thread.
class CallerService {
public:
  CallerService(boost::asio::io_context &Context, TrafficOptions Options,
                TrafficCounters &Counters, LatencyBook &Latencies,
                EventLog &Log);

  /// @brief Begins to listen.
  Result<void> start();
  /// @return "ip:port" with the real port; start() must have succeeded.
  [[nodiscard]] std::string address() const { return m_Listener->address(); }

  /// @brief Takes what control knows now.
  void follow(std::shared_ptr<const TrafficView> View);
  /// @brief Answers on connections that end, from now on.
  void beginLeaving();
  /// @brief Accepts nothing more and closes connections without a request.
  void closeIdle();
  /// @brief Refuses requests that arrive from now on.
  void refuseNew() { m_RefusesNew = true; }
  /// @return Connections of callers and requests that are not done.
  [[nodiscard]] std::size_t busy() const;

private:
  boost::asio::awaitable<http::Response> handle(http::Request Asked);
  [[nodiscard]] RunPlan plan(const RequestRoute &Chosen,
                             const adapter::CallerRequest &Asked);
  http::Response refuse(const adapter::CallerRequest &Asked, RefusalReason Why);
  void applyLimits();
  void sweep();

  boost::asio::io_context &m_Context;
  TrafficOptions m_Options;
  TrafficCounters &m_Counters;
  LatencyBook &m_Latencies;
  EventLog &m_Log;
  VerdictLog m_Verdicts;
  ReplicaFleet m_Fleet;
  ReplicaLinks m_Links;
  WeightedPicker m_Picker;
  CallerPatience m_Patience;
  RetryAdvice m_RetryAdvice; ///< For requests that find no route yet.
  std::shared_ptr<const TrafficView> m_View;
  std::unique_ptr<http::Listener> m_Listener;
  boost::asio::steady_timer m_SweepTimer;
  std::uint64_t m_NextAttempt = 1;
  bool m_RefusesNew = false;
  bool m_HasStopped = false;
};

} // namespace carawaypond::gateway

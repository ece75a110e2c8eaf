#pragma once

#include "coordination/refusal/EventRate.h"
#include "coordination/refusal/RefusalReason.h"
#include "core/time/Time.h"

namespace carawaypond {

struct RetryAdviceOptions {
  /// Share of the caller's remaining time that it waits at most before a retry.
  double CallerTimeoutShare = 1.0 / 3;
  Milliseconds ImmediateDelay{20}; ///< If other VMs can serve the caller.
  Milliseconds MinRetryDelay{30};  ///< If replicas are busy.
};

/// @brief Decides when refused callers of one route may retry.
///
/// Handles bursts above the replicas' capacity: callers that all retry after
/// the same delay find the replicas busy again. Each refused caller gets its
/// own retry time, in the order of the refusals, spaced at the rate at which
/// requests are served. If no retry time is left within a caller's remaining
/// time, it gets the longest delay that it will wait.
class RetryAdvice {
public:
  explicit RetryAdvice(RetryAdviceOptions Options = {}) : m_Options(Options) {}

  /// @return The recent rate of served requests, per second.
  [[nodiscard]] double servedPerSecond(TimePoint Now) const {
    return m_Served.perSecond(Now);
  }

  /// @brief Counts one request that was served.
  void onServed(TimePoint Now) { m_Served.add(Now); }
  /// @brief Returns the delay after which a refused caller may retry.
  /// @param Patience How long the caller still waits.
  /// @param Wait Expected time until a replica has a free slot.
  [[nodiscard]] Milliseconds retryAfter(RefusalReason Why,
                                        Milliseconds Patience, Duration Wait,
                                        TimePoint Now);

private:
  [[nodiscard]] TimePoint reserveReturn(Duration Wait, TimePoint Now);

  RetryAdviceOptions m_Options;
  EventRate m_Served{std::chrono::seconds(1)};
  TimePoint m_NextFreeReturn; ///< Earliest retry time not assigned yet.
};

} // namespace carawaypond

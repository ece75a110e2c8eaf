#pragma once

#include "coordination/refusal/RefusalReason.h"
#include "core/time/Time.h"

namespace carawaypond {

struct RetryAdviceOptions {
  /// Part of a caller's remaining patience that it waits before it asks again.
  double PatienceShare = 1.0 / 3;
  Milliseconds AtOnce{20};    ///< When other VMs can serve the caller.
  Milliseconds MinReturn{30}; ///< When replicas are busy.
};

/// @brief When refused callers of one route may ask again.
///
/// Answers the load of a burst above what the replicas can take: callers that
/// all come back after the same pause meet full replicas again. Each refused
/// caller is given a moment of its own, in the order of the refusals, at the
/// rate at which requests are served. A caller for whom no moment is left
/// within its patience is told the longest pause that it will wait.
class RetryAdvice {
public:
  explicit RetryAdvice(RetryAdviceOptions Options = {}) : m_Options(Options) {}

  /// @return Requests that were served per second, recently.
  [[nodiscard]] double servedPerSecond(TimePoint Now) const;

  /// @brief Takes one request that was served.
  void onServed(TimePoint Now);
  /// @brief Chooses when a refused caller may ask again.
  /// @param Patience How long the caller still waits.
  /// @param Wait Until a replica has room, as far as is known.
  [[nodiscard]] Milliseconds retryAfter(RefusalReason Why,
                                        Milliseconds Patience, Duration Wait,
                                        TimePoint Now);

private:
  [[nodiscard]] TimePoint book(Duration Wait, TimePoint Now);

  RetryAdviceOptions m_Options;
  double m_Rate = 0; ///< Served per second, at m_RateAt.
  TimePoint m_RateAt;
  TimePoint m_NextReturn; ///< First moment that no caller has been given.
};

} // namespace carawaypond

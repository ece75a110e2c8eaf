#include "coordination/refusal/RetryAdvice.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

namespace {

constexpr double MinRate = 5; ///< Lower bound of the served rate, per second.

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

TimePoint RetryAdvice::reserveReturn(Duration Wait, TimePoint Now) {
  TimePoint Earliest =
      Now + std::max<Duration>(Wait, Duration(m_Options.MinRetryDelay));
  TimePoint At = std::max(Earliest, m_NextFreeReturn);
  m_NextFreeReturn =
      At + fromSeconds(1 / std::max(MinRate, servedPerSecond(Now)));
  return At;
}

Milliseconds RetryAdvice::retryAfter(RefusalReason Why, Milliseconds Patience,
                                     Duration Wait, TimePoint Now) {
  auto Longest = std::chrono::duration_cast<Milliseconds>(
      Patience * m_Options.CallerTimeoutShare);
  switch (Why) {
  case RefusalReason::Leaving:
  case RefusalReason::KeyUnproven:
  case RefusalReason::QuotaUnavailable:
    return m_Options.ImmediateDelay;
  case RefusalReason::NotReady:
  case RefusalReason::NoReplica:
  case RefusalReason::EndsReplicas:
    return std::max(Longest, m_Options.ImmediateDelay);
  case RefusalReason::ReplicasBusy:
    break;
  }
  if (m_NextFreeReturn > Now + Longest)
    return std::max(Longest, m_Options.MinRetryDelay);
  auto Pause = std::chrono::ceil<Milliseconds>(reserveReturn(Wait, Now) - Now);
  return std::min(Pause, std::max(Longest, m_Options.MinRetryDelay));
}

} // namespace carawaypond

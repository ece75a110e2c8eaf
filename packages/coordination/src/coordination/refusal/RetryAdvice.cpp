#include "coordination/refusal/RetryAdvice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypond {

namespace {

constexpr double RateSeconds = 1; ///< Over which the served rate is smoothed.
constexpr double MinRate = 5;     ///< Per second; before anything was served.

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

double RetryAdvice::servedPerSecond(TimePoint Now) const {
  return m_Rate * std::exp(-seconds(Now - m_RateAt) / RateSeconds);
}

void RetryAdvice::onServed(TimePoint Now) {
  m_Rate = servedPerSecond(Now) + 1 / RateSeconds;
  m_RateAt = Now;
}

TimePoint RetryAdvice::book(Duration Wait, TimePoint Now) {
  TimePoint Earliest =
      Now + std::max<Duration>(Wait, Duration(m_Options.MinReturn));
  TimePoint At = std::max(Earliest, m_NextReturn);
  m_NextReturn = At + fromSeconds(1 / std::max(MinRate, servedPerSecond(Now)));
  return At;
}

Milliseconds RetryAdvice::retryAfter(RefusalReason Why, Milliseconds Patience,
                                     Duration Wait, TimePoint Now) {
  auto Longest = std::chrono::duration_cast<Milliseconds>(
      Patience * m_Options.PatienceShare);
  switch (Why) {
  case RefusalReason::Leaving:
    return m_Options.AtOnce;
  case RefusalReason::NotReady:
  case RefusalReason::NoReplica:
    return std::max(Longest, m_Options.AtOnce);
  case RefusalReason::ReplicasBusy:
    break;
  }
  if (m_NextReturn > Now + Longest)
    return std::max(Longest, m_Options.MinReturn);
  auto Pause = std::chrono::ceil<Milliseconds>(book(Wait, Now) - Now);
  return std::min(Pause, std::max(Longest, m_Options.MinReturn));
}

} // namespace carawaypond

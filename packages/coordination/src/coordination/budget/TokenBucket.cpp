#include "coordination/budget/TokenBucket.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

namespace {

using Seconds = std::chrono::duration<double>;

/// Longest time that untilNext() returns.
constexpr Seconds MaxWait{3'600};

} // namespace

double TokenBucket::available(TimePoint Now) const {
  double Earned = m_PerSecond * Seconds(Now - m_UpdatedAt).count();
  return std::min(m_Tokens + Earned, 1 + m_PerSecond * BurstSeconds);
}

Duration TokenBucket::untilNext(TimePoint Now) const {
  double Missing = 1 - available(Now);
  if (Missing <= 0)
    return Duration(0);
  Seconds Wait(m_PerSecond > 0 ? Missing / m_PerSecond : MaxWait.count());
  return std::chrono::ceil<Duration>(std::min(Wait, MaxWait));
}

void TokenBucket::setRate(double PerSecond, TimePoint Now) {
  add(0, Now);
  m_PerSecond = PerSecond;
}

void TokenBucket::add(double Tokens, TimePoint Now) {
  m_Tokens = available(Now) + Tokens;
  m_UpdatedAt = Now;
}

} // namespace carawaypond

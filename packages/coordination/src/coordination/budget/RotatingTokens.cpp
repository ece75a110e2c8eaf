#include "coordination/budget/RotatingTokens.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypond {

namespace {

using Seconds = std::chrono::duration<double>;

} // namespace

std::int64_t RotatingTokens::latest(TimePoint Now) const {
  double Elapsed = Seconds(Now - m_Epoch).count();
  auto Token = static_cast<std::int64_t>(std::floor(Elapsed * m_PerSecond));
  auto Count = static_cast<std::int64_t>(m_Own.Count);
  std::int64_t Ahead = (Token - static_cast<std::int64_t>(m_Own.Rank)) % Count;
  return Token - (Ahead < 0 ? Ahead + Count : Ahead);
}

TimePoint RotatingTokens::timeOf(std::int64_t Token) const {
  Seconds Since(static_cast<double>(Token) / m_PerSecond);
  return m_Epoch + std::chrono::ceil<Duration>(Since);
}

bool RotatingTokens::hasRoom(TimePoint Now, double Reserve) const {
  TimePoint At = timeOf(latest(Now));
  return Reserve <= 0 && At > m_Taken && Now < At + Lifetime;
}

Duration RotatingTokens::untilNext(TimePoint Now) const {
  if (hasRoom(Now))
    return Duration(0);
  auto Count = static_cast<std::int64_t>(m_Own.Count);
  return std::max(timeOf(latest(Now) + Count) - Now, Duration(0));
}

void RotatingTokens::setRate(double PerSecond, VmTurn Own) {
  m_PerSecond = PerSecond;
  m_Own = Own;
}

void RotatingTokens::take(TimePoint Now) {
  m_TakenBefore = m_Taken;
  m_Taken = std::max(m_Taken, timeOf(latest(Now)));
}

void RotatingTokens::giveBack(TimePoint Now) {
  if (Now < m_Taken + Lifetime)
    m_Taken = m_TakenBefore;
}

} // namespace carawaypond

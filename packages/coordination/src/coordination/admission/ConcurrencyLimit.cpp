#include "coordination/admission/ConcurrencyLimit.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// Share by which the limit falls if every query missed its deadline.
constexpr double MaxDecrease = 0.5;
constexpr double MinLimit = 2; // queries
/// Minimum time between two decreases, so that queries admitted before a
/// decrease don't count again.
constexpr auto DecreaseInterval = Milliseconds(100);
/// Share of the limit that must be in use for a success to raise it.
constexpr double InUseToIncrease = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Max)
    : m_Max(std::max(1U, Max)), m_Current(m_Max) {}

std::uint32_t ConcurrencyLimit::current() const {
  return static_cast<std::uint32_t>(m_Current);
}

void ConcurrencyLimit::noteFinished(bool MetDeadline, std::uint32_t InUse,
                                    TimePoint Now) {
  ++(MetDeadline ? m_Met : m_Missed);
  if (MetDeadline && InUse >= m_Current * InUseToIncrease)
    m_Current = std::min(m_Max, m_Current + 1 / m_Current);
  if (Now - m_IntervalStart >= DecreaseInterval)
    endInterval(Now);
}

void ConcurrencyLimit::endInterval(TimePoint Now) {
  double MissedShare = static_cast<double>(m_Missed) / (m_Met + m_Missed);
  double Floor = std::min(MinLimit, m_Max);
  m_Current = std::max(Floor, m_Current * (1 - MaxDecrease * MissedShare));
  m_Met = 0;
  m_Missed = 0;
  m_IntervalStart = Now;
}

void ConcurrencyLimit::setMax(std::uint32_t Max) {
  m_Max = std::max(1U, Max);
  m_Current = std::min(m_Current, m_Max);
}

} // namespace carawaypond

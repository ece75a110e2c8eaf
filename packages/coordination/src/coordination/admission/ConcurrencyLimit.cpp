#include "coordination/admission/ConcurrencyLimit.h"

#include <algorithm>

namespace carawaypond {

namespace {

constexpr double DecreaseFactor = 0.85;
constexpr double MinLimit = 2; // queries
/// One decrease an interval, so that queries admitted before it don't count
/// again.
constexpr auto DecreaseInterval = Milliseconds(100);
/// The part of the limit that must be in use for a success to raise it.
constexpr double InUseToIncrease = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Max)
    : m_Max(std::max(1U, Max)), m_Current(m_Max) {}

std::uint32_t ConcurrencyLimit::current() const {
  return static_cast<std::uint32_t>(m_Current);
}

void ConcurrencyLimit::noteFinished(bool MetDeadline, std::uint32_t InUse,
                                    TimePoint Now) {
  if (MetDeadline) {
    if (InUse >= m_Current * InUseToIncrease)
      m_Current = std::min(m_Max, m_Current + 1 / m_Current);
    return;
  }
  if (Now - m_LastDecrease < DecreaseInterval)
    return;
  m_LastDecrease = Now;
  double Floor = std::min(MinLimit, m_Max);
  m_Current = std::max(Floor, m_Current * DecreaseFactor);
}

void ConcurrencyLimit::setMax(std::uint32_t Max) {
  m_Max = std::max(1U, Max);
  m_Current = std::min(m_Current, m_Max);
}

} // namespace carawaypond

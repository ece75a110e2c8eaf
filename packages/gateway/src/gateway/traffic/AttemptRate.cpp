#include "gateway/traffic/AttemptRate.h"

#include <chrono>
#include <cmath>

namespace carawaypond::gateway {

namespace {

constexpr double SmoothingSeconds = 1.5;

} // namespace

void AttemptRate::sample(std::uint64_t Count, TimePoint Now) {
  if (m_LastAt && Now > *m_LastAt) {
    double Seconds = std::chrono::duration<double>(Now - *m_LastAt).count();
    double Rate = static_cast<double>(Count - m_LastCount) / Seconds;
    double Weight = 1 - std::exp(-Seconds / SmoothingSeconds);
    m_PerSecond += Weight * (Rate - m_PerSecond);
  }
  m_LastCount = Count;
  m_LastAt = Now;
}

} // namespace carawaypond::gateway

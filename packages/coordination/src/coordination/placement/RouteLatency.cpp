#include "coordination/placement/RouteLatency.h"

#include <algorithm>
#include <chrono>

namespace carawaypond {

namespace {

constexpr double HighQuantile = 0.9;
constexpr double Step = 0.03; ///< Maximum relative change by one sample.
constexpr double MinSeconds = 0.0005;
/// Initial high quantile, as a multiple of the median.
constexpr double InitialHighFactor = 2.5;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double adjusted(double Estimate, double Sample, double Quantile) {
  double Factor =
      Sample > Estimate ? 1 + Step * Quantile : 1 - Step * (1 - Quantile);
  return std::max(MinSeconds, Estimate * Factor);
}

} // namespace

RouteLatency::RouteLatency(Duration Expected)
    : m_Median(std::max(MinSeconds, toSeconds(Expected))),
      m_High(m_Median * InitialHighFactor) {}

Duration RouteLatency::median() const { return toDuration(m_Median); }

Duration RouteLatency::high() const {
  return toDuration(std::max(m_High, m_Median));
}

void RouteLatency::add(Duration Latency) {
  double Sample = toSeconds(Latency);
  m_Median = adjusted(m_Median, Sample, 0.5);
  m_High = adjusted(m_High, Sample, HighQuantile);
}

} // namespace carawaypond

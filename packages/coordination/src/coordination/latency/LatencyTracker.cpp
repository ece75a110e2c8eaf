#include "coordination/latency/LatencyTracker.h"

namespace carawaypond {

std::optional<Duration> LatencyTracker::quantile(const ClassName &Class,
                                                 double Quantile,
                                                 TimePoint Now) const {
  auto Found = m_Classes.find(Class);
  if (Found == m_Classes.end())
    return std::nullopt;
  return Found->second.quantile(Quantile, Now);
}

void LatencyTracker::record(const ClassName &Class, Duration Latency,
                            TimePoint Now) {
  m_Classes[Class].record(Latency, Now);
}

} // namespace carawaypond

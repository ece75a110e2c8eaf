#pragma once

#include "coordination/latency/DecayingHistogram.h"
#include "core/id/Ids.h"

#include <optional>
#include <unordered_map>

namespace carawaypond {

/// @brief Latencies of one service's subrequests, for each class of callers.
class LatencyTracker {
public:
  /// @return The class's quantile; nothing without recent samples.
  [[nodiscard]] std::optional<Duration>
  quantile(const ClassName &Class, double Quantile, TimePoint Now) const;

  /// @brief Adds the latency of one subrequest at a backend server.
  void record(const ClassName &Class, Duration Latency, TimePoint Now);

private:
  std::unordered_map<ClassName, DecayingHistogram> m_Classes;
};

} // namespace carawaypond

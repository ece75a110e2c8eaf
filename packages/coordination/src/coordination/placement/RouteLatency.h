#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// @brief Running estimates of a route's latency at replicas that are not slow.
///
/// Each sample moves an estimated quantile up or down by a fixed factor. The
/// cost of a sample is constant, and the estimate follows a change of the
/// latency within some dozen samples.
class RouteLatency {
public:
  /// @param Expected Initial estimate of the median.
  explicit RouteLatency(Duration Expected);

  [[nodiscard]] Duration median() const;
  /// @return The estimated 0.9 quantile: nine of ten answers take less.
  [[nodiscard]] Duration high() const;

  void add(Duration Latency);

private:
  double m_Median; ///< Seconds.
  double m_High;   ///< Seconds.
};

} // namespace carawaypond

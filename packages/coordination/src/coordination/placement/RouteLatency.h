#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// @brief Running estimates of a route's latency at replicas that are well.
///
/// Each sample moves an estimated quantile up or down by a fixed factor, so the
/// cost is constant and a change of level is followed within some dozen
/// samples.
class RouteLatency {
public:
  /// @param Expected A first guess of the median.
  explicit RouteLatency(Duration Expected);

  [[nodiscard]] Duration median() const;
  /// @return A latency that nine of ten answers stay below.
  [[nodiscard]] Duration high() const;

  void add(Duration Latency);

private:
  double m_Median; ///< Seconds.
  double m_High;   ///< Seconds.
};

} // namespace carawaypond

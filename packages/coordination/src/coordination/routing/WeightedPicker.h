#pragma once

#include "coordination/routing/RequestRoute.h"

#include <unordered_map>

namespace carawaypond {

/// @brief Shares requests among services by weight, evenly over short spans.
///
/// Each service gains its weight with every pick and the richest one is picked
/// and pays the sum, so that no run of picks strays by more than one request.
class WeightedPicker {
public:
  /// @param Start In [0, 1): where in the cycle to begin, so that VMs that
  /// start together do not pick in step.
  explicit WeightedPicker(double Start) : m_Start(Start) {}

  /// @return The service for the next request; @p Target must not be empty.
  const ServiceName &pick(const WeightedTarget &Target);

private:
  double m_Start = 0;
  std::unordered_map<ServiceName, double> m_Credit;
};

} // namespace carawaypond

#pragma once

#include "coordination/routing/RequestRoute.h"

#include <unordered_map>

namespace carawaypond {

/// @brief Distributes requests among services by weight, evenly over short
/// spans (smooth weighted round robin).
///
/// At each pick, every service's credit grows by its weight; the service with
/// the most credit is picked, and the sum of the weights is subtracted from its
/// credit. No series of picks deviates from the weights by more than one
/// request.
class WeightedPicker {
public:
  /// @param Start Initial position in the cycle, in [0, 1). Different values
  /// prevent VMs that start together from picking the same services in step.
  explicit WeightedPicker(double Start) : m_Start(Start) {}

  /// @return The service for the next request. @p Target must not be empty.
  const ServiceName &pick(const WeightedTarget &Target);

private:
  double m_Start = 0;
  std::unordered_map<ServiceName, double> m_Credit;
};

} // namespace carawaypond

#pragma once

#include "coordination/routing/RequestRoute.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace carawaypond {

class RoutingTable;

/// @brief Distributes the requests of each route among its services by weight,
/// evenly over short spans (smooth weighted round robin).
///
/// At each pick, every service's credit grows by its weight; the service with
/// the most credit is picked, and the sum of the weights is subtracted from its
/// credit. No series of picks deviates from the weights by more than one
/// request.
///
/// Credits are in units of one route's weights, so each route has its own, and
/// they restart when its services or weights change.
class WeightedPicker {
public:
  /// @param Start Initial position in the cycle, in [0, 1). Different values
  /// prevent VMs that start together from picking the same services in step.
  explicit WeightedPicker(double Start) : m_Start(Start) {}

  /// @return The number of routes whose credits are held.
  [[nodiscard]] std::size_t routes() const { return m_Splits.size(); }

  /// @param Target The target of @p Route; it must not be empty.
  /// @return The service for the next request.
  const ServiceName &pick(const RequestRoute &Route,
                          const WeightedTarget &Target);
  /// @brief Drops the credits of routes that @p Table does not hold.
  void retain(const RoutingTable &Table);

private:
  struct Split {
    std::vector<WeightedService> Services;
    std::vector<double> Credits; ///< In the order of Services.
  };

  [[nodiscard]] Split restart(const WeightedTarget &Target) const;
  /// @return The route's credits for @p Target.
  Split &splitOf(const RequestRoute &Route, const WeightedTarget &Target);

  double m_Start = 0;
  /// By host and prefix, which identify a route: names need not be unique.
  std::unordered_map<std::string, Split> m_Splits;
};

} // namespace carawaypond

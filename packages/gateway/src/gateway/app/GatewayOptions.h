#pragma once

#include "coordination/placement/LoadBalance.h"

namespace carawaypond::gateway {

/// @brief Options of the operator's command line. The platform's settings file
/// does not hold them.
struct GatewayOptions {
  LoadBalance Balance = LoadBalance::LeastCost;
  /// Whether VMs report slow replicas to each other. Has no effect with
  /// LeastCost.
  bool ReportsSlowReplicas = false;
};

} // namespace carawaypond::gateway

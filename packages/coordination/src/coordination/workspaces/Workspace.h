#pragma once

#include "core/id/Ids.h"

#include <optional>

namespace carawaypond {

/// @brief A customer of the deployment, and its limits over all VMs together.
struct Workspace {
  WorkspaceName Name;
  /// Goes before the priority of the route; 0 is the most urgent.
  std::optional<unsigned> Priority;
  double RequestRate = 0; ///< Requests per second; 0 means no limit.
  double Burst = 0;       ///< Requests beyond the rate.

  /// @return Whether its requests are limited.
  [[nodiscard]] bool hasQuota() const { return RequestRate > 0; }
};

} // namespace carawaypond

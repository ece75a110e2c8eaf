#pragma once

#include <optional>
#include <string_view>

namespace carawaypond {

/// @brief How replicas are chosen.
enum class LoadBalance {
  LeastCost,          ///< The replica of the least cost.
  BoundedShare,       ///< The same within the bound of ShareBound.
  BoundedShareAcross, ///< The same, with replicas of all data centres.
};

/// @return The name of @p Balance in settings and logs.
[[nodiscard]] std::string_view nameOf(LoadBalance Balance);

/// @return The load balance of this name, or nothing.
[[nodiscard]] std::optional<LoadBalance>
parseLoadBalance(std::string_view Name);

} // namespace carawaypond

#pragma once

#include "backends/server/Fleet.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>

namespace carawaypond::standins {

/// @brief A new layout for an index.
struct Repartition {
  std::uint32_t Shards = 1;
  std::optional<std::uint32_t> Replicas; ///< As many as before if not set.
  std::uint64_t After = 1;               ///< Versions until the layout holds.
};

/// @brief A change to an index, requested over the control interface.
struct IndexChange {
  std::optional<Milliseconds> Every;
  std::optional<std::uint64_t> MaxLag;
  std::optional<IndexVersion> Withdraw;
  std::uint64_t Advance = 0;
  std::optional<Repartition> Layout;
};

/// @brief Parses the value of `"index"`.
[[nodiscard]] Result<IndexChange> parseIndexChange(const nlohmann::json &Body);

/// @brief Applies @p Change to @p Service's index.
void apply(const IndexChange &Change, ServiceRuntime &Service, Fleet &Owner);

} // namespace carawaypond::standins

#pragma once

#include "core/time/Time.h"

#include <algorithm>
#include <cstddef>

namespace carawaypond {

/// @brief What the end of one request shows about its replicas' capacity.
/// Shards that failed for another reason than load are not counted.
struct LoadSample {
  std::size_t AllowedMissing = 0; ///< Shards without which it still succeeds.
  std::size_t Rejected = 0;       ///< Shards that rejected it as not run.
  /// Shards that had not answered at its end, or whose replicas were all too
  /// busy to be asked.
  std::size_t Late = 0;
  TimePoint StartedAt;

  /// @return The shards missing for lack of capacity. A late one counts half,
  /// as it may also be frozen.
  [[nodiscard]] double missing() const {
    return static_cast<double>(Rejected) + static_cast<double>(Late) / 2;
  }
  /// @return The missing shards relative to the number that the request may
  /// miss.
  [[nodiscard]] double stress() const {
    auto Allowed = std::max<std::size_t>(1, AllowedMissing);
    return missing() / static_cast<double>(Allowed);
  }
  /// @return Whether too many shards were missing for a success.
  [[nodiscard]] bool isFailure() const {
    return Rejected + Late > AllowedMissing;
  }
};

} // namespace carawaypond

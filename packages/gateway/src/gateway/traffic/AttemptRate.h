#pragma once

#include "core/time/Time.h"

#include <cstdint>
#include <optional>

namespace carawaypond::gateway {

/// @brief A smoothed rate of a growing counter.
class AttemptRate {
public:
  /// @return Per second.
  [[nodiscard]] double value() const { return m_PerSecond; }

  /// @brief Takes the counter's value.
  void sample(std::uint64_t Count, TimePoint Now);

private:
  std::uint64_t m_LastCount = 0;
  std::optional<TimePoint> m_LastAt;
  double m_PerSecond = 0;
};

} // namespace carawaypond::gateway

#pragma once

#include "core/time/Time.h"

#include <cstdint>
#include <optional>

namespace carawaypond::gateway {

/// @brief Exponentially smoothed rate of a monotonic counter of attempts.
class AttemptRate {
public:
  /// @return Per second.
  [[nodiscard]] double value() const { return m_PerSecond; }

  /// @brief Updates the rate from the counter's value at @p Now.
  void sample(std::uint64_t Count, TimePoint Now);

private:
  std::uint64_t m_LastCount = 0;
  std::optional<TimePoint> m_LastAt;
  double m_PerSecond = 0;
};

} // namespace carawaypond::gateway

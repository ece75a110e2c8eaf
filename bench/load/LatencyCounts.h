#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawaypond::bench {

/// @brief A histogram of latencies with a relative error of at most 1/64.
class LatencyCounts {
public:
  [[nodiscard]] std::uint64_t count() const { return m_Count; }
  [[nodiscard]] Duration max() const { return m_Max; }
  /// @param Part The quantile, between 0 and 1, such as 0.99.
  /// @return The upper bound of the bucket that contains the quantile; zero if
  /// no value was added.
  [[nodiscard]] Duration quantile(double Part) const;

  void add(Duration Latency);

private:
  std::vector<std::uint64_t> m_Buckets;
  std::uint64_t m_Count = 0;
  Duration m_Max{0};
};

} // namespace carawaypond::bench

#pragma once

#include "core/time/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace carawaypond {

/// @brief A histogram of latencies with fixed logarithmic buckets. Samples lose
/// half of their weight in each half-life. Recording takes a few instructions.
class DecayingHistogram {
public:
  /// Four buckets per octave, from 100 microseconds to 29 seconds.
  static constexpr std::size_t BucketCount = 73;

  explicit DecayingHistogram(Duration HalfLife = std::chrono::seconds(10))
      : m_HalfLife(HalfLife) {}

  /// @return The quantile of recent samples, rounded up to the upper end of a
  /// bucket; nothing without recent samples.
  [[nodiscard]] std::optional<Duration> quantile(double Quantile,
                                                 TimePoint Now) const;

  /// @return The total weight of the samples, after decay.
  [[nodiscard]] double weight(TimePoint Now) const;

  void record(Duration Latency, TimePoint Now);

private:
  [[nodiscard]] double decayAt(TimePoint Now) const;
  void rescale(TimePoint Now);

  std::array<float, BucketCount> m_Buckets{};
  double m_Total = 0;
  Duration m_HalfLife;
  TimePoint m_ScaledAt{};
};

} // namespace carawaypond

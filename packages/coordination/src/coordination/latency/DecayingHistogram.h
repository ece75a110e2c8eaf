#pragma once

#include "core/time/Time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace carawaypond {

/// @brief A decaying histogram of latencies with fixed logarithmic buckets.
/// Recording costs a few instructions; samples lose half their weight in each
/// half-life.
class DecayingHistogram {
public:
  /// Four buckets an octave, from 100 microseconds to 29 seconds.
  static constexpr std::size_t BucketCount = 73;

  explicit DecayingHistogram(Duration HalfLife = std::chrono::seconds(10))
      : m_HalfLife(HalfLife) {}

  /// @return The latency that the part @p Quantile of recent samples stays
  /// below, rounded up to a bucket's end; nothing without recent samples.
  [[nodiscard]] std::optional<Duration> quantile(double Quantile,
                                                 TimePoint Now) const;

  /// @return The weight of recent samples.
  [[nodiscard]] double weight(TimePoint Now) const;

  /// @brief Adds one latency.
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

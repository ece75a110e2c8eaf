#pragma once

#include "core/time/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>

namespace carawaypond {

/// @brief Upper bounds of the histogram's buckets, in milliseconds. The bucket
/// for larger values ("+Inf") has no bound.
inline constexpr std::array<double, 14> LatencyBucketsMillis = {
    1, 2, 5, 10, 20, 35, 50, 75, 110, 200, 500, 1000, 5000, 30000};

/// @brief Latencies of one service and class. Not thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();

  [[nodiscard]] std::uint64_t count() const;
  /// @return The sum, in milliseconds.
  [[nodiscard]] double sum() const;
  [[nodiscard]] double max() const;
  /// @param Quantile One of 0.5, 0.9, 0.99 and 0.999.
  /// @return An estimate, in milliseconds; 0 before the first value.
  [[nodiscard]] double quantile(double Quantile) const;
  /// @return How many values were at most the bound of bucket @p Index.
  [[nodiscard]] std::uint64_t cumulative(std::size_t Index) const;

  void add(Duration Latency);

private:
  using Accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  Accumulator m_Accumulator;
  std::array<std::uint64_t, LatencyBucketsMillis.size()> m_Buckets{};
};

} // namespace carawaypond

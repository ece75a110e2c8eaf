#include "core/metrics/LatencyHistogram.h"

#include <algorithm>

namespace carawaypond {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.99, 0.999};

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_Accumulator(accumulators::extended_p_square_probabilities = Quantiles) {
}

std::uint64_t LatencyHistogram::count() const {
  return accumulators::count(m_Accumulator);
}

double LatencyHistogram::sum() const {
  return accumulators::sum(m_Accumulator);
}

double LatencyHistogram::max() const {
  return count() == 0 ? 0 : accumulators::max(m_Accumulator);
}

double LatencyHistogram::quantile(double Quantile) const {
  if (count() == 0)
    return 0;
  return accumulators::quantile(m_Accumulator,
                                accumulators::quantile_probability = Quantile);
}

std::uint64_t LatencyHistogram::cumulative(std::size_t Index) const {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I <= Index; ++I)
    Sum += m_Buckets[I];
  return Sum;
}

void LatencyHistogram::add(Duration Latency) {
  double Millis = std::chrono::duration<double, std::milli>(Latency).count();
  m_Accumulator(Millis);
  auto Bucket = std::lower_bound(LatencyBucketsMillis.begin(),
                                 LatencyBucketsMillis.end(), Millis);
  if (Bucket != LatencyBucketsMillis.end())
    ++m_Buckets[Bucket - LatencyBucketsMillis.begin()];
}

} // namespace carawaypond

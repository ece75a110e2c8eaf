#include "coordination/latency/DecayingHistogram.h"

#include <algorithm>
#include <cmath>

namespace carawaypond {

namespace {

constexpr double FirstBucketMicros = 100;
constexpr double BucketsPerOctave = 4;
/// Total weight, in samples, below which there is no estimate.
constexpr double MinWeight = 0.5;

std::size_t bucketOf(Duration Latency) {
  double Micros = std::chrono::duration<double, std::micro>(Latency).count();
  if (Micros <= FirstBucketMicros)
    return 0;
  double Exact =
      std::ceil(std::log2(Micros / FirstBucketMicros) * BucketsPerOctave);
  return std::min(static_cast<std::size_t>(Exact),
                  DecayingHistogram::BucketCount - 1);
}

Duration upperEnd(std::size_t Bucket) {
  double Micros = FirstBucketMicros *
                  std::exp2(static_cast<double>(Bucket) / BucketsPerOctave);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(Micros));
}

} // namespace

double DecayingHistogram::decayAt(TimePoint Now) const {
  if (Now <= m_ScaledAt)
    return 1;
  double HalfLives = std::chrono::duration<double>(Now - m_ScaledAt) /
                     std::chrono::duration<double>(m_HalfLife);
  return std::exp2(-HalfLives);
}

double DecayingHistogram::weight(TimePoint Now) const {
  return m_Total * decayAt(Now);
}

std::optional<Duration> DecayingHistogram::quantile(double Quantile,
                                                    TimePoint Now) const {
  if (weight(Now) < MinWeight)
    return std::nullopt;
  double Wanted = m_Total * Quantile;
  double Seen = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Seen += m_Buckets[I];
    if (m_Buckets[I] > 0 && Seen >= Wanted)
      return upperEnd(I);
  }
  return upperEnd(BucketCount - 1);
}

void DecayingHistogram::record(Duration Latency, TimePoint Now) {
  if (Now - m_ScaledAt >= m_HalfLife)
    rescale(Now);
  m_Buckets[bucketOf(Latency)] += 1;
  m_Total += 1;
}

void DecayingHistogram::rescale(TimePoint Now) {
  auto Factor = static_cast<float>(decayAt(Now));
  m_Total = 0;
  for (float &Bucket : m_Buckets) {
    Bucket *= Factor;
    m_Total += Bucket;
  }
  m_ScaledAt = Now;
}

} // namespace carawaypond

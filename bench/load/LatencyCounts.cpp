#include "LatencyCounts.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace carawaypond::bench {

namespace {

/// Each power-of-two range of microseconds is divided into 2^6 buckets.
constexpr unsigned SubBits = 6;
constexpr std::uint64_t SubBuckets = 1U << SubBits;

std::size_t bucketOf(std::uint64_t Micros) {
  if (Micros < SubBuckets)
    return Micros;
  unsigned Shift = std::bit_width(Micros) - 1 - SubBits;
  return Shift * SubBuckets + (Micros >> Shift);
}

/// @return The largest value that falls into the bucket.
std::uint64_t boundOf(std::size_t Bucket) {
  if (Bucket < 2 * SubBuckets)
    return Bucket;
  std::uint64_t Shift = Bucket / SubBuckets - 1;
  std::uint64_t Leading = Bucket - Shift * SubBuckets;
  return ((Leading + 1) << Shift) - 1;
}

} // namespace

Duration LatencyCounts::quantile(double Part) const {
  auto Rank = static_cast<std::uint64_t>(
      std::ceil(Part * static_cast<double>(m_Count)));
  std::uint64_t Seen = 0;
  for (std::size_t Bucket = 0; Bucket < m_Buckets.size(); ++Bucket) {
    Seen += m_Buckets[Bucket];
    if (Seen >= Rank && Seen > 0)
      return std::min<Duration>(Microseconds(boundOf(Bucket)), m_Max);
  }
  return m_Max;
}

void LatencyCounts::add(Duration Latency) {
  auto Micros = std::chrono::duration_cast<Microseconds>(
      std::max(Latency, Duration::zero()));
  std::size_t Bucket = bucketOf(static_cast<std::uint64_t>(Micros.count()));
  if (Bucket >= m_Buckets.size())
    m_Buckets.resize(Bucket + 1);
  ++m_Buckets[Bucket];
  ++m_Count;
  m_Max = std::max(m_Max, Latency);
}

} // namespace carawaypond::bench

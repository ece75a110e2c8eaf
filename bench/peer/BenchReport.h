#pragma once

#include "core/time/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::bench {

/// @brief Measures a run: rate, CPU time of the process, and latencies.
class BenchReport {
public:
  BenchReport();

  [[nodiscard]] bool over(Duration Length) const;
  /// @brief Records the time from sending a subrequest to its result.
  void add(Duration Latency);
  /// @return One JSON line.
  [[nodiscard]] std::string line(const std::string &Transport,
                                 std::size_t BatchSize);

private:
  TimePoint m_Start;
  Duration m_CpuAtStart;
  std::vector<Duration> m_Latencies;
};

} // namespace carawaypond::bench

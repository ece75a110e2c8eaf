#include "BenchReport.h"

#include <algorithm>
#include <sstream>

#include <sys/resource.h>

namespace carawaypond::bench {

namespace {

using Seconds = std::chrono::duration<double>;
using FractionalMicros = std::chrono::duration<double, std::micro>;

Duration toDuration(const timeval &Time) {
  return std::chrono::seconds(Time.tv_sec) + Microseconds(Time.tv_usec);
}

Duration processCpu() {
  rusage Usage{};
  ::getrusage(RUSAGE_SELF, &Usage);
  return toDuration(Usage.ru_utime) + toDuration(Usage.ru_stime);
}

double microseconds(Duration Span) { return FractionalMicros(Span).count(); }

} // namespace

BenchReport::BenchReport()
    : m_Start(monotonicNow()), m_CpuAtStart(processCpu()) {}

bool BenchReport::over(Duration Length) const {
  return monotonicNow() - m_Start >= Length;
}

void BenchReport::add(Duration Latency) { m_Latencies.push_back(Latency); }

std::string BenchReport::line(const std::string &Transport,
                              std::size_t BatchSize) {
  double Elapsed = Seconds(monotonicNow() - m_Start).count();
  double Cpu = microseconds(processCpu() - m_CpuAtStart);
  std::sort(m_Latencies.begin(), m_Latencies.end());
  auto Count = static_cast<double>(m_Latencies.size());
  auto Quantile = [this](std::size_t Percent) {
    return microseconds(m_Latencies[(m_Latencies.size() - 1) * Percent / 100]);
  };
  std::ostringstream Line;
  Line << R"({"way": ")" << Transport << R"(", "batch": )" << BatchSize
       << R"(, "subrequests_per_s": )"
       << static_cast<std::int64_t>(Count / Elapsed) << R"(, "cpu_us": )"
       << Cpu / Count << R"(, "p50_us": )" << Quantile(50) << R"(, "p99_us": )"
       << Quantile(99) << "}";
  return Line.str();
}

} // namespace carawaypond::bench

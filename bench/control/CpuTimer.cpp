#include "CpuTimer.h"

#include <ctime>

namespace carawaypond::bench {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double NanosPerMicro = 1e3;

double threadCpuMicros() {
  timespec Time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * MicrosPerSecond +
         static_cast<double>(Time.tv_nsec) / NanosPerMicro;
}

} // namespace

CpuTimer::CpuTimer() : m_Start(threadCpuMicros()) {}

double CpuTimer::microseconds() const { return threadCpuMicros() - m_Start; }

} // namespace carawaypond::bench

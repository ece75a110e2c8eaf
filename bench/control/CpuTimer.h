#pragma once

namespace carawaypond::bench {

/// @brief Measures the calling thread's CPU time since construction.
class CpuTimer {
public:
  CpuTimer();

  [[nodiscard]] double microseconds() const;

private:
  double m_Start;
};

} // namespace carawaypond::bench

#pragma once

namespace carawaypond::bench {

/// @brief Measures this thread's processor time since its construction.
class CpuTimer {
public:
  CpuTimer();

  /// @return Microseconds of processor time.
  [[nodiscard]] double microseconds() const;

private:
  double m_Start;
};

} // namespace carawaypond::bench

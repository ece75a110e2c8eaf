#include "backends/run/ServiceTime.h"

namespace carawaypond::standins {

ServiceTime::ServiceTime(ServiceTimeOptions Options, std::uint64_t Seed)
    : m_Options(Options), m_Random(Seed), m_Spread(0, Options.Sigma) {}

Duration ServiceTime::draw(Duration SinceStart, double Slow) {
  double Micros = static_cast<double>(m_Options.Median.count());
  Micros *= m_Spread(m_Random);
  if (m_Uniform(m_Random) < m_Options.TailRatio)
    Micros *= m_Options.TailFactor;
  Micros *= coldFactor(SinceStart) * Slow;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(Micros));
}

double ServiceTime::coldFactor(Duration SinceStart) const {
  if (SinceStart >= m_Options.ColdStart)
    return 1;
  using Seconds = std::chrono::duration<double>;
  double Left = 1 - Seconds(SinceStart) / Seconds(m_Options.ColdStart);
  return 1 + Left * (m_Options.ColdFactor - 1);
}

} // namespace carawaypond::standins

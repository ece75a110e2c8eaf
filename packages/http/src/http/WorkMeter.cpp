#include "http/WorkMeter.h"

#include <algorithm>

namespace carawaypond::http {

void WorkMeter::begin(TimePoint Now) {
  m_BegunAt = Now;
  m_Bytes = 0;
  m_Steps = 0;
}

void WorkMeter::beginTurn() {
  m_TurnBytes = 0;
  m_TurnSteps = 0;
}

WorkVerdict WorkMeter::add(std::size_t Bytes, std::size_t Steps,
                           TimePoint Now) {
  m_Bytes += Bytes;
  m_Steps += Steps;
  m_TurnBytes += Bytes;
  m_TurnSteps += Steps;
  if (m_Steps > m_Limits.FreeSteps && m_Steps > allowance(Now))
    return WorkVerdict::Close;
  bool IsTurnOver = m_TurnBytes >= m_Limits.BytesPerTurn ||
                    m_TurnSteps >= m_Limits.StepsPerTurn;
  return IsTurnOver ? WorkVerdict::Yield : WorkVerdict::Continue;
}

std::size_t WorkMeter::allowance(TimePoint Now) const {
  auto Elapsed = std::chrono::duration_cast<Milliseconds>(Now - m_BegunAt);
  auto Passed =
      static_cast<std::size_t>(std::max<Milliseconds::rep>(Elapsed.count(), 0));
  constexpr std::size_t MillisecondsPerSecond = 1'000;
  return m_Limits.FreeSteps + m_Bytes / m_Limits.BytesPerStep +
         Passed * m_Limits.StepsPerSecond / MillisecondsPerSecond;
}

} // namespace carawaypond::http

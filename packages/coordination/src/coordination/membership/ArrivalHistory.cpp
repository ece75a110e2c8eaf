#include "coordination/membership/ArrivalHistory.h"

#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

namespace {

constexpr int Gain = 8;         // each interval has a weight of 1/8
constexpr int MeanFactor = 3;   // consecutive lost messages tolerated
constexpr int SpreadFactor = 6; // deviations added to the mean

Duration smoothed(Duration Old, Duration New) {
  return Old + (New - Old) / Gain;
}

} // namespace

Duration ArrivalHistory::timeout(Duration Floor, Duration Ceiling) const {
  CARAWAYPOND_INVARIANT(Floor <= Ceiling, "timeout floor is above its ceiling");
  return std::clamp(MeanFactor * m_Mean + SpreadFactor * m_Deviation, Floor,
                    Ceiling);
}

void ArrivalHistory::record(TimePoint Now) {
  if (m_Last) {
    Duration Interval = std::max(Now - *m_Last, Duration(0));
    Duration Error = Interval > m_Mean ? Interval - m_Mean : m_Mean - Interval;
    m_Deviation = smoothed(m_Deviation, Error);
    m_Mean = smoothed(m_Mean, Interval);
  }
  m_Last = std::max(m_Last.value_or(Now), Now);
}

void ArrivalHistory::shift(Duration Pause) {
  if (m_Last)
    *m_Last += Pause;
}

} // namespace carawaypond

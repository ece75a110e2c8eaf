#include "peer/link/Backoff.h"

#include <algorithm>

namespace carawaypond::peer {

Backoff::Backoff(Duration First, Duration Max)
    : m_First(First), m_Max(Max), m_Step(First) {}

Duration Backoff::next(std::mt19937_64 &Random) {
  Duration Step = m_Step;
  m_Step = std::min(m_Step * 2, m_Max);
  std::uniform_int_distribution<Duration::rep> Pick(Step.count() / 2,
                                                    Step.count());
  return Duration(Pick(Random));
}

void Backoff::reset() { m_Step = m_First; }

} // namespace carawaypond::peer

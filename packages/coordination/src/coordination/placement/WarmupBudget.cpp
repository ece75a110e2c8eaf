#include "coordination/placement/WarmupBudget.h"

namespace carawaypond {

bool WarmupBudget::hasRoom(TimePoint Now, double Reserve) const {
  return !isActive(Now) || m_Tokens->available(Now) >= 1 + Reserve;
}

Duration WarmupBudget::untilAllowed(TimePoint Now) const {
  return isActive(Now) ? m_Tokens->untilNext(Now) : Duration(0);
}

void WarmupBudget::update(TimePoint ColdUntil, double PerSecond,
                          const LimitShare &Own, TimePoint Now) {
  bool WasCold = isActive(Now);
  m_ColdUntil = ColdUntil;
  if (Now >= ColdUntil || PerSecond <= 0) {
    m_Tokens.reset();
    return;
  }
  double OwnRate = PerSecond * Own.Part;
  if (WasCold)
    m_Tokens->setRate(OwnRate, Now);
  else // The VMs' first requests are spread over the time of one token.
    m_Tokens.emplace(OwnRate, 1 - Own.Phase, Now);
}

void WarmupBudget::onSent(TimePoint Now) {
  if (m_Tokens)
    m_Tokens->take(Now);
}

void WarmupBudget::onUnsent(TimePoint Now) {
  if (m_Tokens)
    m_Tokens->giveBack(Now);
}

} // namespace carawaypond

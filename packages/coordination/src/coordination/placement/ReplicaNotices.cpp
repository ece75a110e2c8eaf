#include "coordination/placement/ReplicaNotices.h"

#include <algorithm>

namespace carawaypond {

namespace {

/// Requests per second that all VMs together send at least to a replica that
/// names a limit, so that they learn of its end.
constexpr double MinRate = 0.5;

} // namespace

bool ReplicaNotices::hasRoom(TimePoint Now, double Reserve) const {
  return !m_Tokens || m_Tokens->available(Now) >= 1 + Reserve;
}

Duration ReplicaNotices::untilAllowed(TimePoint Now) const {
  Duration Pause = std::max(m_PausedUntil - Now, Duration(0));
  return m_Tokens ? std::max(Pause, m_Tokens->untilNext(Now)) : Pause;
}

bool ReplicaNotices::apply(const ReplicaNotice &Told, const LimitShare &Own,
                           TimePoint Now) {
  bool HasChanged = false;
  if (Told.IsLeaving && !m_IsLeaving) {
    m_IsLeaving = true;
    HasChanged = true;
  }
  if (Told.RetryAfter && Now + *Told.RetryAfter > m_PausedUntil) {
    m_PausedUntil = Now + *Told.RetryAfter;
    HasChanged = true;
  }
  return applyLimit(Told, Own, Now) || HasChanged;
}

bool ReplicaNotices::applyLimit(const ReplicaNotice &Told,
                                const LimitShare &Own, TimePoint Now) {
  auto Before = m_Limit;
  if (Told.Limit) {
    double OwnRate = std::max(*Told.Limit, MinRate) * Own.Part;
    if (m_Tokens)
      m_Tokens->setRate(OwnRate, Now);
    else
      m_Tokens.emplace(OwnRate, -Own.Phase, Now);
    m_Limit = Told.Limit;
  } else if (Told.EndsLimit) {
    m_Tokens.reset();
    m_Limit.reset();
  }
  return m_Limit != Before;
}

void ReplicaNotices::onSent(TimePoint Now) {
  if (m_Tokens)
    m_Tokens->take(Now);
}

void ReplicaNotices::onUnsent(TimePoint Now) {
  if (m_Tokens)
    m_Tokens->giveBack(Now);
}

} // namespace carawaypond

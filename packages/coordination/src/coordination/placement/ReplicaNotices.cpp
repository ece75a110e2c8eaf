#include "coordination/placement/ReplicaNotices.h"

namespace carawaypond {

bool ReplicaNotices::apply(const ReplicaNotice &Told, TimePoint Now) {
  bool HasChanged = false;
  if (Told.IsLeaving && !m_IsLeaving) {
    m_IsLeaving = true;
    HasChanged = true;
  }
  if (Told.RetryAfter && Now + *Told.RetryAfter > m_PausedUntil) {
    m_PausedUntil = Now + *Told.RetryAfter;
    HasChanged = true;
  }
  if (Told.Limit != m_Limit) {
    m_Limit = Told.Limit;
    HasChanged = true;
  }
  return HasChanged;
}

} // namespace carawaypond

#include "gateway/control/StoreHealth.h"

namespace carawaypond::gateway {

void StoreHealth::onAnswered(TimePoint Now) {
  if (!m_LostSince)
    return;
  auto Lost = std::chrono::duration_cast<Milliseconds>(Now - *m_LostSince);
  LogLine Line("store_regained");
  Line.add("lost_ms", Lost.count());
  m_Log.write(Line);
  m_LostSince.reset();
}

bool StoreHealth::onFailed(const Error &Why, TimePoint Now) {
  if (m_LostSince)
    return false;
  LogLine Line("store_lost");
  Line.add("why", Why.Message);
  m_Log.write(Line);
  m_LostSince = Now;
  return true;
}

} // namespace carawaypond::gateway

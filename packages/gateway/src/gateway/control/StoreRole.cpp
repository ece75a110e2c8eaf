#include "gateway/control/StoreRole.h"

namespace carawaypond::gateway {

StoreRole::StoreRole(const FleetState &State, EventLog &Log,
                     const StoreHealth &Health, Describe Self,
                     Milliseconds MaxAge, StoreReaderSelectorOptions Options)
    : m_State(State), m_Log(Log), m_Health(Health), m_Self(std::move(Self)),
      m_MaxAge(MaxAge), m_Choice(Options, monotonicNow()) {}

std::optional<VmRecord> StoreRole::reader() {
  TimePoint Now = monotonicNow();
  auto Chosen = m_Choice.reader(m_Self(), m_State.vms().heard(Now), Now,
                                m_Health.isLost());
  std::string Name = Chosen ? Chosen->Name.value() : "";
  if (Name != m_ReaderName)
    onReaderChanged(Name, Now);
  return Chosen;
}

void StoreRole::onReaderChanged(const std::string &Name, TimePoint Now) {
  LogLine Line("store_reader");
  Line.add("reader", Name.empty() ? "self" : Name);
  m_Log.write(Line);
  bool WasReader = !m_ReaderName || m_ReaderName->empty();
  m_ReaderName = Name;
  m_FollowsStaleSince.reset();
  if (WasReader && m_State.age() > m_MaxAge)
    m_FollowsStaleSince = Now;
}

bool StoreRole::isOutdated(TimePoint Now) const {
  bool IsOld = m_State.age() > m_MaxAge;
  bool HadTime = !m_FollowsStaleSince || Now - *m_FollowsStaleSince > m_MaxAge;
  return IsOld && HadTime;
}

bool StoreRole::readsStore() {
  TimePoint Now = monotonicNow();
  if (m_Choice.isTooEarly(m_State.vms().heard(Now), Now))
    return false;
  auto Reader = reader();
  if (!Reader)
    return true;
  if (!isOutdated(Now))
    return false;
  onReaderFailed(Reader->Name, "what it tells is old");
  return !reader();
}

void StoreRole::onReaderFailed(const VmName &Reader, const std::string &Why) {
  LogLine Line("reader_failed");
  Line.add("reader", Reader.value());
  Line.add("why", Why);
  m_Log.write(Line);
  m_Choice.onReaderFailed(Reader, monotonicNow());
}

} // namespace carawaypond::gateway

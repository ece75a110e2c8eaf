#include "gateway/control/StoreRole.h"

namespace carawaypond::gateway {

StoreRole::StoreRole(const FleetState &State, EventLog &Log, Describe Self)
    : m_State(State), m_Log(Log), m_Self(std::move(Self)),
      m_Choice(ReaderChoiceOptions{}, monotonicNow()) {}

std::optional<VmRecord> StoreRole::reader() {
  TimePoint Now = monotonicNow();
  auto Chosen = m_Choice.reader(m_Self(), m_State.vms().heard(Now), Now);
  std::string Name = Chosen ? Chosen->Name.value() : "";
  if (Name != m_Logged) {
    LogLine Line("store_reader");
    Line.add("reader", Name.empty() ? "self" : Name);
    m_Log.write(Line);
    m_Logged = Name;
  }
  return Chosen;
}

bool StoreRole::readsStore() {
  TimePoint Now = monotonicNow();
  if (m_Choice.isTooEarly(m_State.vms().heard(Now), Now))
    return false;
  return !reader();
}

void StoreRole::onReaderFailed(const std::string &Why) {
  LogLine Line("reader_failed");
  Line.add("why", Why);
  m_Log.write(Line);
  m_Choice.onReaderFailed(monotonicNow());
}

} // namespace carawaypond::gateway

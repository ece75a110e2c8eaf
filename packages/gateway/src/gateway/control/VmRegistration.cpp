#include "gateway/control/VmRegistration.h"

#include "gateway/peers/Heartbeat.h"

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

/// The kind of the store objects that hold VM records.
constexpr const char *VmKind = "carawaypond-vms";

} // namespace

VmRegistration::VmRegistration(boost::asio::io_context &Context,
                               adapter::StoreClient &Store, FleetState &State,
                               EventLog &Log, VmRecord Self,
                               const FollowOptions &Options, OnListed Listed)
    : m_Store(Store), m_State(State), m_Log(Log), m_Self(std::move(Self)),
      m_Options(Options), m_Listed(std::move(Listed)),
      m_Pause(Context, Options),
      m_Cleaner(m_Self.Name, {.Retention = Options.RecordRetention}) {}

awaitable<void> VmRegistration::run() {
  bool Written = false;
  while (!Written && !m_IsWithdrawn) {
    Written = co_await write();
    if (!Written)
      co_await m_Pause.afterFailure();
  }
  m_Pause.reset();
  while (!m_IsWithdrawn) {
    bool Listed = co_await list();
    if (Listed)
      co_await m_Pause.wait(m_Options.RegistryInterval);
    else
      co_await m_Pause.afterFailure();
  }
}

awaitable<bool> VmRegistration::write() {
  bool Written = co_await put();
  // The write may have taken effect after withdraw() removed the record, even
  // if its answer was lost.
  if (m_IsWithdrawn)
    co_await removeOwn();
  co_return Written;
}

awaitable<bool> VmRegistration::put() {
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Made = co_await m_Store.create(VmKind, m_Self.Name.value(),
                                      encodeVm(m_Self), Deadline);
  if (Made)
    co_return true;
  if (Made.error().Code != ErrorCode::Conflict || m_IsWithdrawn)
    co_return false;
  // An earlier incarnation of this VM left its record in the store.
  auto Replaced = co_await m_Store.replace(VmKind, m_Self.Name.value(),
                                           encodeVm(m_Self), Deadline);
  co_return static_cast<bool>(Replaced);
}

void VmRegistration::onPage(
    const std::vector<adapter::StoredDocument> &Documents) {
  for (const adapter::StoredDocument &Each : Documents) {
    m_Records.push_back({.Name = VmName(Each.Name), .Revision = Each.Revision});
    auto Vm = decodeVm(Each.Content);
    if (!Vm)
      continue;
    bool IsOwn = Vm->Name == m_Self.Name &&
                 Vm->IncarnationNumber == m_Self.IncarnationNumber;
    m_IsListed = m_IsListed || IsOwn;
    m_State.onVmRecord(*Vm, Each.Revision);
  }
}

awaitable<bool> VmRegistration::list() {
  m_Records.clear();
  m_IsListed = false;
  std::string After;
  bool HasMore = true;
  while (HasMore) {
    TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
    auto Page = co_await m_Store.list(VmKind, After, Deadline);
    if (!Page)
      co_return false;
    const auto &Documents = Page.value().Documents;
    onPage(Documents);
    HasMore = Page.value().HasMore && !Documents.empty();
    if (HasMore)
      After = Documents.back().Name;
  }
  m_Listed();
  co_await restore();
  co_await clean();
  co_return true;
}

awaitable<void> VmRegistration::restore() {
  if (m_IsListed || m_IsWithdrawn)
    co_return;
  bool Written = co_await write();
  LogLine Line("record_rewritten");
  Line.add("succeeded", Written);
  m_Log.write(Line);
}

awaitable<void> VmRegistration::clean() {
  auto Heard = m_State.vms().heard(monotonicNow());
  auto Gone = m_Cleaner.onListed(m_Records, Heard, monotonicNow());
  for (const StoredVmRecord &Each : Gone)
    if (!m_IsWithdrawn)
      co_await remove(Each);
}

awaitable<void> VmRegistration::remove(const StoredVmRecord &Gone) {
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Removed = co_await m_Store.removeIf(VmKind, Gone.Name.value(),
                                           Gone.Revision, Deadline);
  LogLine Line("record_removed");
  Line.add("vm", Gone.Name.value());
  Line.add("succeeded", static_cast<bool>(Removed));
  m_Log.write(Line);
}

awaitable<void> VmRegistration::withdraw() {
  m_IsWithdrawn = true;
  co_await removeOwn();
}

awaitable<void> VmRegistration::removeOwn() {
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Removed = co_await m_Store.remove(VmKind, m_Self.Name.value(), Deadline);
  if (Removed || Removed.error().Code == ErrorCode::NotFound)
    co_return;
  LogLine Line("record_left");
  Line.add("why", Removed.error().Message);
  m_Log.write(Line);
}

} // namespace carawaypond::gateway

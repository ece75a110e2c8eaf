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
      m_Pause(Context, Options) {}

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
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Made = co_await m_Store.create(VmKind, m_Self.Name.value(),
                                      encodeVm(m_Self), Deadline);
  if (Made)
    co_return true;
  if (Made.error().Code != ErrorCode::Conflict)
    co_return false;
  // An earlier incarnation of this VM left its record in the store.
  auto Replaced = co_await m_Store.replace(VmKind, m_Self.Name.value(),
                                           encodeVm(m_Self), Deadline);
  co_return static_cast<bool>(Replaced);
}

awaitable<bool> VmRegistration::list() {
  std::string After;
  bool HasMore = true;
  while (HasMore) {
    TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
    auto Page = co_await m_Store.list(VmKind, After, Deadline);
    if (!Page)
      co_return false;
    const auto &Documents = Page.value().Documents;
    for (const adapter::StoredDocument &Each : Documents)
      if (auto Vm = decodeVm(Each.Content))
        m_State.onVmRecord(*Vm);
    HasMore = Page.value().HasMore && !Documents.empty();
    if (HasMore)
      After = Documents.back().Name;
  }
  m_Listed();
  co_return true;
}

awaitable<void> VmRegistration::withdraw() {
  m_IsWithdrawn = true;
  TimePoint Deadline = monotonicNow() + m_Options.AnswerTimeout;
  auto Removed = co_await m_Store.remove(VmKind, m_Self.Name.value(), Deadline);
  if (Removed)
    co_return;
  LogLine Line("record_left");
  Line.add("why", Removed.error().Message);
  m_Log.write(Line);
}

} // namespace carawaypond::gateway

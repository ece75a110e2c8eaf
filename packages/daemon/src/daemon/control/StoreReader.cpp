#include "daemon/control/StoreReader.h"

#include "coordination/configuration/WatchPlan.h"
#include "daemon/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr const char *ServiceKind = "service";
constexpr const char *IndexKind = "index";
constexpr Milliseconds ListTimeout{2000};
constexpr Milliseconds WatchGrace{2000};
constexpr Milliseconds VmListTimeout{2000};
constexpr Milliseconds WatcherVmListPeriod{2000};
constexpr Milliseconds OtherVmListPeriod{30'000};
/// Indexes are large and watches deliver their changes, so a list only picks up
/// changes that a watch has missed.
constexpr Milliseconds IndexListPeriod{20'000};

} // namespace

/// @brief Starts a list or watch of services.
struct StoreReader::ServiceVisitor {
  StoreReader &Reader;

  void operator()(const ListObjects &) const {
    asio::co_spawn(Reader.m_Io, Reader.listServices(), asio::detached);
  }
  void operator()(const WatchObjects &Asked) const {
    asio::co_spawn(Reader.m_Io, Reader.watchServices(Asked), asio::detached);
  }
};

/// @brief Starts a list or watch of indexes.
struct StoreReader::IndexVisitor {
  StoreReader &Reader;

  void operator()(const ListObjects &) const {
    asio::co_spawn(Reader.m_Io, Reader.listIndexes(), asio::detached);
  }
  void operator()(const WatchObjects &Asked) const {
    asio::co_spawn(Reader.m_Io, Reader.watchIndexes(Asked), asio::detached);
  }
};

StoreReader::StoreReader(asio::io_context &Io, const std::string &Platform,
                         ControlState &State, std::uint64_t Seed)
    : m_Io(Io), m_State(State), m_Objects(Io.get_executor(), Platform),
      m_VmList(Io.get_executor(), Platform),
      m_IndexFeed({.ListPeriod = IndexListPeriod, .Seed = Seed}) {}

bool StoreReader::isWatcher() const {
  const Membership &Members = m_State.Core.members();
  std::vector<VmRecord> All = Members.others();
  All.push_back(Members.self());
  return chooseWatchers({}, All).contains(Members.self().Name);
}

void StoreReader::tick(const std::vector<StoreReadAction> &ServiceReads,
                       TimePoint Now) {
  for (const StoreReadAction &Action : ServiceReads)
    std::visit(ServiceVisitor{*this}, Action);
  bool IsWatcher = isWatcher();
  const Membership &Members = m_State.Core.members();
  for (const StoreReadAction &Action :
       m_IndexFeed.tick(IsWatcher, Members.liveVms().size(),
                        m_State.Core.recency().storeAsOf(), Now))
    std::visit(IndexVisitor{*this}, Action);
  if (m_IsReadingVmList || (m_NextVmList && Now < *m_NextVmList))
    return;
  bool IsEager = IsWatcher || Members.isAlone();
  m_NextVmList = Now + (IsEager ? WatcherVmListPeriod : OtherVmListPeriod);
  m_IsReadingVmList = true;
  asio::co_spawn(m_Io, readVmList(), asio::detached);
}

namespace {

/// @return The valid services; invalid ones are logged and skipped.
std::vector<StoredService>
parseServices(const std::vector<platform::Object> &Objects) {
  std::vector<StoredService> Services;
  for (const platform::Object &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Value, nullptr, false);
    Result<StoredService> Stored = parseStoredService(Value);
    if (Stored)
      Services.push_back(std::move(Stored.value()));
    else
      LOG4CXX_WARN(logger(), "ignored an invalid service in the store name="
                                 << Object.Name << " cause=\""
                                 << Stored.error().Message << "\"");
  }
  return Services;
}

} // namespace

asio::awaitable<void> StoreReader::listServices() {
  TimePoint SentAt = monotonicNow();
  Result<platform::ObjectList> Listed =
      co_await m_Objects.list(ServiceKind, SentAt + ListTimeout);
  TimePoint Now = monotonicNow();
  if (!Listed) {
    m_State.Core.onServiceListFailed(Now);
    co_return;
  }
  m_State.Core.onServiceList(Listed.value().Revision,
                             parseServices(Listed.value().Objects), SentAt,
                             Now);
  m_State.OnChange();
}

asio::awaitable<void> StoreReader::watchServices(WatchObjects Asked) {
  Result<platform::ObjectList> Changed = co_await watch(ServiceKind, Asked);
  TimePoint Now = monotonicNow();
  if (!Changed) {
    m_State.Core.onServiceWatchFailed(Now);
    co_return;
  }
  m_State.Core.onServiceWatch(Changed.value().Revision,
                              parseServices(Changed.value().Objects), Now);
  m_State.OnChange();
}

asio::awaitable<void> StoreReader::listIndexes() {
  Result<platform::ObjectList> Listed =
      co_await m_Objects.list(IndexKind, monotonicNow() + ListTimeout);
  if (Listed)
    mergeIndexes(Listed.value().Objects);
  std::optional<std::uint64_t> Revision;
  if (Listed)
    Revision = Listed.value().Revision;
  m_IndexFeed.onList(Revision, monotonicNow());
}

asio::awaitable<void> StoreReader::watchIndexes(WatchObjects Asked) {
  Result<platform::ObjectList> Changed = co_await watch(IndexKind, Asked);
  if (Changed)
    mergeIndexes(Changed.value().Objects);
  std::optional<std::uint64_t> Revision;
  if (Changed)
    Revision = Changed.value().Revision;
  m_IndexFeed.onWatch(Revision, monotonicNow());
}

asio::awaitable<Result<platform::ObjectList>>
StoreReader::watch(std::string Kind, WatchObjects Asked) {
  TimePoint Deadline = monotonicNow() + Asked.Timeout + WatchGrace;
  co_return co_await m_Objects.watch(std::move(Kind), Asked.After,
                                     Asked.Timeout, Deadline);
}

asio::awaitable<void> StoreReader::readVmList() {
  auto Listed = co_await m_VmList.list(monotonicNow() + VmListTimeout);
  m_IsReadingVmList = false;
  if (!Listed)
    co_return;
  std::vector<ListedVm> Vms;
  for (const platform::ListedVm &Vm : Listed.value())
    Vms.push_back({.Name = Vm.Name,
                   .Centre = Vm.Centre,
                   .PeerAddress = Vm.Address,
                   .Leaving = Vm.Leaving});
  m_State.Core.onVmList(Vms, monotonicNow());
}

void StoreReader::mergeIndexes(const Found &Objects) {
  for (const platform::Object &Object : Objects) {
    nlohmann::json Value = nlohmann::json::parse(Object.Value, nullptr, false);
    Result<IndexObject> Index = parseIndexObject(Value, Object.Version);
    if (Index)
      m_State.mergeIndex(std::move(Index.value()), monotonicNow());
    else
      LOG4CXX_WARN(logger(), "ignored an invalid index in the store name="
                                 << Object.Name << " cause=\""
                                 << Index.error().Message << "\"");
  }
}

} // namespace carawaypond::daemon

#include "daemon/control/StoreReader.h"

#include "coordination/configuration/WatchPlan.h"
#include "daemon/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds ListDeadline{2000};
constexpr Milliseconds WatchGrace{2000};
constexpr Milliseconds VmListDeadline{2000};
constexpr Milliseconds WatcherVmListPeriod{2000};
constexpr Milliseconds OtherVmListPeriod{30'000};
/// Indexes are large and a watch brings their changes, so that a list only
/// catches what a watch has missed.
constexpr Milliseconds IndexListPeriod{20'000};

} // namespace

/// @brief Starts one read that a feed decided on.
struct StoreReader::ActionVisitor {
  StoreReader &Reader;
  Kind &Which;

  void operator()(const ListObjects &) const {
    asio::co_spawn(Reader.m_Io, Reader.list(Which), asio::detached);
  }
  void operator()(const WatchObjects &Asked) const {
    asio::co_spawn(Reader.m_Io, Reader.watch(Which, Asked), asio::detached);
  }
};

StoreReader::StoreReader(asio::io_context &Io, const std::string &Platform,
                         ControlState &State, std::uint64_t Seed)
    : m_Io(Io), m_State(State), m_Objects(Io.get_executor(), Platform),
      m_VmList(Io.get_executor(), Platform), m_Services{.Name = "service",
                                                        .Feed = StoreFeed(
                                                            {.Seed = Seed}),
                                                        .IsService = true},
      m_Indexes{
          .Name = "index",
          .Feed = StoreFeed({.ListPeriod = IndexListPeriod, .Seed = Seed + 1}),
          .IsService = false} {}

bool StoreReader::isWatcher() const {
  std::vector<VmRecord> All = m_State.Vms.others();
  All.push_back(m_State.Vms.self());
  return chooseWatchers({}, All).contains(m_State.Vms.self().Name);
}

void StoreReader::tick(TimePoint Now) {
  bool IsWatcher = isWatcher();
  std::size_t Live = m_State.Vms.liveVms().size();
  std::optional<TimePoint> Upstream = m_State.Fresh.storeAsOf();
  start(m_Services, m_Services.Feed.tick(IsWatcher, Live, Upstream, Now));
  start(m_Indexes, m_Indexes.Feed.tick(IsWatcher, Live, Upstream, Now));
  if (m_ReadingVmList || (m_NextVmList && Now < *m_NextVmList))
    return;
  bool IsEager = IsWatcher || m_State.Vms.isAlone();
  m_NextVmList = Now + (IsEager ? WatcherVmListPeriod : OtherVmListPeriod);
  m_ReadingVmList = true;
  asio::co_spawn(m_Io, readVmList(), asio::detached);
}

void StoreReader::start(Kind &Which,
                        const std::vector<StoreFeedAction> &Actions) {
  for (const StoreFeedAction &Action : Actions)
    std::visit(ActionVisitor{*this, Which}, Action);
}

asio::awaitable<void> StoreReader::list(Kind &Which) {
  TimePoint SentAt = monotonicNow();
  Result<platform::ObjectList> Listed =
      co_await m_Objects.list(Which.Name, SentAt + ListDeadline);
  TimePoint Now = monotonicNow();
  if (!Listed) {
    Which.Feed.onList(std::nullopt, Now);
    co_return;
  }
  take(Which, Listed.value().Objects);
  Which.Feed.onList(Listed.value().Revision, Now);
  if (Which.IsService)
    m_State.Fresh.onStoreList(SentAt, Now);
  m_State.OnChange();
}

asio::awaitable<void> StoreReader::watch(Kind &Which, WatchObjects Asked) {
  TimePoint Deadline = monotonicNow() + Asked.Timeout + WatchGrace;
  Result<platform::ObjectList> Changed = co_await m_Objects.watch(
      Which.Name, Asked.After, Asked.Timeout, Deadline);
  TimePoint Now = monotonicNow();
  if (!Changed) {
    Which.Feed.onWatch(std::nullopt, Now);
    co_return;
  }
  take(Which, Changed.value().Objects);
  Which.Feed.onWatch(Changed.value().Revision, Now);
}

asio::awaitable<void> StoreReader::readVmList() {
  auto Listed = co_await m_VmList.list(monotonicNow() + VmListDeadline);
  m_ReadingVmList = false;
  if (!Listed)
    co_return;
  std::vector<ListedVm> Vms;
  for (const platform::ListedVm &Vm : Listed.value())
    Vms.push_back({.Name = Vm.Name,
                   .Centre = Vm.Centre,
                   .PeerAddress = Vm.Address,
                   .Leaving = Vm.Leaving});
  m_State.Vms.onVmList(Vms, monotonicNow());
}

void StoreReader::take(const Kind &Which, const Found &Objects) {
  for (const platform::Object &Object : Objects)
    takeOne(Which, Object);
}

void StoreReader::takeOne(const Kind &Which, const platform::Object &Object) {
  nlohmann::json Value = nlohmann::json::parse(Object.Value, nullptr, false);
  std::string Cause;
  if (Which.IsService) {
    Result<StoredService> Stored = parseStoredService(Value);
    if (Stored)
      return m_State.takeConfig(std::move(Stored.value()));
    Cause = Stored.error().Message;
  } else {
    Result<IndexObject> Index = parseIndexObject(Value, Object.Version);
    if (Index)
      return m_State.takeIndex(std::move(Index.value()), monotonicNow());
    Cause = Index.error().Message;
  }
  LOG4CXX_WARN(logger(), "the store holds an unusable object kind="
                             << Which.Name << " name=" << Object.Name
                             << " cause=\"" << Cause << "\"");
}

} // namespace carawaypond::daemon

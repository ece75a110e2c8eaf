#include "daemon/traffic/StatusPoller.h"

#include "coordination/ownership/RouteTable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

/// Each server is polled once per period. The polls are spread evenly over the
/// period.
constexpr Milliseconds PollPeriod{500};
/// How often the replicas of a service are polled while it has no snapshot.
constexpr Milliseconds SnapshotPollPeriod{100};
constexpr Milliseconds SnapshotRecheckPeriod{2};

std::vector<VmName> owningVms(const ControlView &View) {
  std::vector<VmName> Live;
  for (const VmView &Vm : View.Vms)
    if (Vm.MayOwn)
      Live.push_back(Vm.Name);
  return Live;
}

} // namespace

StatusPoller::StatusPoller(TrafficContext &Context, ServiceTable &Services,
                           BackendFleet &Fleet, VersionsHandler OnVersions)
    : m_Context(Context), m_Services(Services), m_Fleet(Fleet),
      m_OnVersions(std::move(OnVersions)) {}

void StatusPoller::apply(const ControlView &View) {
  RouteTable Routes({.Self = m_Context.Config.Vm, .LiveVms = owningVms(View)});
  std::set<ServerName> Owned;
  for (const auto &[Name, Service] : m_Services.all()) {
    for (const IndexLayout &Layout : Service->index().Layouts) {
      for (const ShardReplicas &Shard : Layout.Shards) {
        if (Routes.ownedHere({.Service = Name, .Shard = Shard.Shard}))
          Owned.insert(Shard.Replicas.begin(), Shard.Replicas.end());
      }
    }
  }
  m_Owned.assign(Owned.begin(), Owned.end());
}

asio::awaitable<void> StatusPoller::run() {
  asio::steady_timer Timer(m_Context.Io);
  std::size_t Next = 0;
  while (true) {
    std::size_t Servers = std::max<std::size_t>(m_Owned.size(), 1);
    Timer.expires_after(Duration(PollPeriod) / Servers);
    co_await Timer.async_wait(asio::use_awaitable);
    if (m_Owned.empty())
      continue;
    Next = (Next + 1) % m_Owned.size();
    pollServer(m_Owned[Next]);
  }
}

asio::awaitable<void>
StatusPoller::awaitSnapshot(std::shared_ptr<ServiceRuntime> Service,
                            TimePoint Deadline) {
  asio::steady_timer Timer(m_Context.Io);
  m_Context.Collected.count("snapshots_learned_total");
  while (!Service->pinner().pin() && monotonicNow() < Deadline) {
    TimePoint Now = monotonicNow();
    TimePoint &LastSnapshotPoll = m_LastSnapshotPoll[Service->index().Name];
    if (Now - LastSnapshotPoll >= SnapshotPollPeriod) {
      LastSnapshotPoll = Now;
      pollReplicas(Service->index());
    }
    Timer.expires_after(SnapshotRecheckPeriod);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void StatusPoller::pollReplicas(const IndexObject &Index) {
  std::set<ServerName> Servers;
  for (const IndexLayout &Layout : Index.Layouts)
    for (const ShardReplicas &Shard : Layout.Shards)
      Servers.insert(Shard.Replicas.begin(), Shard.Replicas.end());
  for (const ServerName &Server : Servers)
    pollServer(Server);
}

void StatusPoller::pollServer(const ServerName &Server) {
  if (m_PollsInFlight.insert(Server).second)
    asio::co_spawn(m_Context.Io, poll(Server), asio::detached);
}

asio::awaitable<void> StatusPoller::poll(ServerName Server) {
  TimePoint AskedAt = monotonicNow();
  Result<backend::ServerStatus> Status = co_await m_Fleet.status(Server);
  m_PollsInFlight.erase(Server);
  if (Status)
    mergeStatus(Status.value(), AskedAt);
}

void StatusPoller::mergeStatus(const backend::ServerStatus &Status,
                               TimePoint AskedAt) {
  std::vector<ServiceReplicaVersions> Found;
  for (const backend::ShardStatus &Shard : Status.Shards) {
    ServiceTable::Entry Service = m_Services.find(Shard.Service);
    if (!Service)
      continue;
    ReplicaVersions Replica{
        .Server = Status.Server, .Shard = Shard.Shard, .Ranges = Shard.Ranges};
    Service->pinner().board().noteStatus(Replica, AskedAt);
    Found.push_back({.Service = Shard.Service, .Replica = std::move(Replica)});
  }
  m_OnVersions(std::move(Found));
}

} // namespace carawaypond::daemon

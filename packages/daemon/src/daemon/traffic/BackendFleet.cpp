#include "daemon/traffic/BackendFleet.h"

#include "coordination/ownership/Ownership.h"
#include "daemon/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds SendRecheck{5};
constexpr Milliseconds CancelTimeout{500};
constexpr Milliseconds StatusTimeout{1000};
constexpr Milliseconds IdleConnectionLifetime{10'000};

/// @brief Returns whether an outcome shows that the server is draining.
struct DrainingVisitor {
  bool operator()(const backend::SearchAnswer &O) const { return O.Draining; }
  bool operator()(const backend::SearchRefused &O) const {
    return O.Draining || O.Reason == "draining";
  }
  bool operator()(const backend::SearchFailed &O) const { return O.Draining; }
  bool operator()(const backend::SearchInDoubt &) const { return false; }
  bool operator()(const backend::SearchNotSent &) const { return false; }
};

} // namespace

BackendFleet::BackendFleet(TrafficContext &Context, StateChange OnState,
                           SlotsChange OnSlots)
    : m_Context(Context), m_OnState(std::move(OnState)),
      m_OnSlots(std::move(OnSlots)) {}

ServerState BackendFleet::stateOf(const ServerName &Server) const {
  auto Found = m_Servers.find(Server);
  return Found == m_Servers.end() ? ServerState::Down : Found->second.State;
}

std::uint64_t BackendFleet::connectionsOpened() const {
  std::uint64_t Sum = m_OpenedByRemoved;
  for (const auto &[Name, Server] : m_Servers)
    Sum += Server.Pool->stats().Opened;
  return Sum;
}

void BackendFleet::apply(const ControlView &View) {
  std::vector<VmName> MayConnect;
  for (const VmView &Vm : View.Vms)
    MayConnect.push_back(Vm.Name);
  std::set<ServerName> Named;
  for (const auto &[Name, Service] : View.Services) {
    if (!Service.Index)
      continue;
    for (const ServerInfo &Info : Service.Index->Servers) {
      if (Named.insert(Info.Name).second)
        applyServer(Info, View, MayConnect);
    }
  }
  for (auto It = m_Servers.begin(); It != m_Servers.end();) {
    if (Named.contains(It->first)) {
      ++It;
      continue;
    }
    m_OpenedByRemoved += It->second.Pool->stats().Opened;
    m_OnState(It->first, ServerState::Down);
    It = m_Servers.erase(It);
  }
}

void BackendFleet::applyServer(const ServerInfo &Info, const ControlView &View,
                               const std::vector<VmName> &MayConnect) {
  std::uint32_t Cap = connectionCap(Info.Name, Info.Connections,
                                    m_Context.Config.Vm, MayConnect);
  Entry &Server = m_Servers[Info.Name];
  bool IsMoved = Server.Pool && Server.Pool->options().Address != Info.Address;
  if (!Server.Pool || IsMoved) {
    if (Server.Pool)
      m_OpenedByRemoved += Server.Pool->stats().Opened;
    Server.Pool = std::make_shared<backend::ServerPool>(
        m_Context.Io.get_executor(),
        backend::ServerPoolOptions{.Server = Info.Name,
                                   .Address = Info.Address,
                                   .MaxConnections = Cap});
  }
  Server.Pool->setMaxConnections(Cap);
  setSlots(Info.Name, Server, std::min(Info.Slots, Cap));
  if (IsMoved)
    Server.ReportsDraining = false;
  bool IsLeaving = Info.Leaving || Server.ReportsDraining ||
                   View.LeavingServers.contains(Info.Name);
  if (IsLeaving)
    setState(Info.Name, ServerState::Leaving);
  else if (Server.State == ServerState::Leaving)
    setState(Info.Name, ServerState::Up);
  if (Server.State != ServerState::Up)
    m_OnState(Info.Name, Server.State); // New services must learn the state.
}

void BackendFleet::setSlots(const ServerName &Server, Entry &Kept,
                            std::uint32_t Slots) {
  if (Kept.Slots == Slots)
    return;
  Kept.Slots = Slots;
  m_OnSlots(Server, Slots);
  m_OnState(Server, Kept.State);
}

void BackendFleet::setState(const ServerName &Server, ServerState State) {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return;
  if (Found->second.State == State)
    return;
  Found->second.State = State;
  m_OnState(Server, State);
}

bool BackendFleet::maySend(const ServerName &Server) const {
  return m_Context.Views.maySend(monotonicNow()) &&
         stateOf(Server) != ServerState::Leaving;
}

void BackendFleet::noteDraining(const ServerName &Server, bool Draining) {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return;
  m_Context.OnDrainStatus(Server, Draining);
  if (Found->second.ReportsDraining == Draining)
    return;
  LOG4CXX_INFO(logger(), "backend server reports its drain state server="
                             << Server << " draining=" << Draining);
  Found->second.ReportsDraining = Draining;
  if (Draining)
    setState(Server, ServerState::Leaving);
}

void BackendFleet::noteReachable(const ServerName &Server, bool Reachable) {
  ServerState State = stateOf(Server);
  if (Reachable && State == ServerState::Down) {
    LOG4CXX_INFO(logger(), "backend server is up server=" << Server);
    setState(Server, ServerState::Up);
  }
  if (!Reachable && State == ServerState::Up) {
    LOG4CXX_INFO(logger(), "backend server is down server=" << Server);
    setState(Server, ServerState::Down);
  }
}

void BackendFleet::noteOutcome(const ServerName &Server,
                               const backend::SearchOutcome &Outcome) {
  if (std::visit(DrainingVisitor{}, Outcome))
    noteDraining(Server, true);
  const auto *NotSent = std::get_if<backend::SearchNotSent>(&Outcome);
  if (!NotSent || NotSent->Cause.Code != ErrorCode::NotConnected)
    return;
  noteReachable(Server, false);
}

asio::awaitable<backend::SearchOutcome>
BackendFleet::search(ServerName Server, backend::SearchRequest Search) {
  asio::steady_timer Timer(m_Context.Io);
  while (!m_Context.Views.maySend(monotonicNow())) {
    if (monotonicNow() >= Search.Deadline)
      co_return backend::SearchRefused{.Reason = "deadline"};
    Timer.expires_after(SendRecheck);
    co_await Timer.async_wait(asio::use_awaitable);
  }
  if (stateOf(Server) == ServerState::Leaving)
    co_return backend::SearchRefused{.Reason = "draining"};
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    co_return backend::SearchNotSent{
        Error{.Code = ErrorCode::Unavailable,
              .Message = "server \"" + Server.value() + "\" is not known"}};
  std::shared_ptr<backend::ServerPool> Pool = Found->second.Pool;
  backend::ServerPool::Permission MaySend = [this, Server] {
    return maySend(Server);
  };
  backend::SearchOutcome Outcome =
      co_await Pool->search(std::move(Search), std::move(MaySend));
  noteOutcome(Server, Outcome);
  co_return Outcome;
}

void BackendFleet::cancel(const ServerName &Server, std::string Id) {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    return;
  auto Ask = [](std::shared_ptr<backend::ServerPool> Pool,
                std::string Cancelled) -> asio::awaitable<void> {
    co_await Pool->cancel(std::move(Cancelled), monotonicNow() + CancelTimeout);
  };
  m_Context.Collected.count("cancels_total");
  asio::co_spawn(m_Context.Io, Ask(Found->second.Pool, std::move(Id)),
                 asio::detached);
}

asio::awaitable<Result<backend::ServerStatus>>
BackendFleet::status(ServerName Server) {
  auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end())
    co_return failure(ErrorCode::NotFound,
                      "server \"" + Server.value() + "\" is not known");
  std::shared_ptr<backend::ServerPool> Pool = Found->second.Pool;
  Result<backend::ServerStatus> Status =
      co_await Pool->status(monotonicNow() + StatusTimeout);
  bool IsBusy = !Status && Status.error().Code == ErrorCode::Unavailable;
  if (!IsBusy)
    noteReachable(Server, Status.has_value());
  if (Status)
    noteDraining(Server, Status.value().Draining);
  co_return Status;
}

void BackendFleet::closeIdle() {
  TimePoint Since = monotonicNow() - IdleConnectionLifetime;
  for (auto &[Name, Server] : m_Servers)
    Server.Pool->closeIdleSince(Since);
}

} // namespace carawaypond::daemon

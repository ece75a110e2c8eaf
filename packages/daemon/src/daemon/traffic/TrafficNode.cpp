#include "daemon/traffic/TrafficNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds HousekeepingPeriod{1000};

http::ListenerOptions listenerOptions(const Settings &Config) {
  return {.Address = Config.Listen.Callers,
          .MaxBodyBytes = Config.Callers.BodyBytes,
          .HeaderTimeout = Config.Callers.HeaderTimeout,
          .IdleTimeout = Config.Callers.IdleTimeout,
          .MaxConnections = Config.Callers.Connections,
          .MaxConnectionsPerAddress = Config.Callers.ConnectionsPerAddress};
}

} // namespace

TrafficNode::TrafficNode(asio::io_context &Io, const Settings &Config,
                         Incarnation IncarnationNumber, ViewHolder &Views,
                         Metrics &Collected, TrafficHandlers Handlers)
    : m_Context{.Io = Io,
                .Config = Config,
                .IncarnationNumber = IncarnationNumber,
                .Views = Views,
                .Collected = Collected,
                .OnDrainStatus = std::move(Handlers.OnDrainStatus)},
      m_Services(Config.Policy),
      m_Fleet(
          m_Context,
          [this](const ServerName &Server, ServerState State) {
            m_Services.setServerState(Server, State);
            m_Owned.setState(Server, State);
          },
          [this](const ServerName &Server, std::uint32_t Slots) {
            m_Owned.setSlots(Server, Slots);
          }),
      m_Owned(m_Context, m_Services, m_Fleet),
      m_Remote(m_Context, m_Services, m_Owned),
      m_Poller(m_Context, m_Services, m_Fleet, std::move(Handlers.OnVersions)),
      m_Queries(m_Context, m_Services, m_Owned, m_Remote, m_Poller),
      m_Tickets(m_Context, m_Queries),
      m_Addresses({.Lifetime = Config.AddressLifetime}),
      m_Api(m_Context, m_Queries, m_Tickets,
            [this](const http::Request &Request) {
              return addresses(Request);
            }) {}

std::string TrafficNode::address() const { return m_Listener->address(); }

http::ListenerStats TrafficNode::listenerStats() const {
  return m_Listener->stats();
}

Result<void> TrafficNode::start() {
  auto Opened =
      http::Listener::open(m_Context.Io, listenerOptions(m_Context.Config),
                           [this](http::Request Request) {
                             return m_Api.handle(std::move(Request));
                           });
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Listener = std::move(Opened.value());
  asio::co_spawn(m_Context.Io, m_Poller.run(), asio::detached);
  asio::co_spawn(m_Context.Io, runHousekeeping(), asio::detached);
  return success();
}

void TrafficNode::attach(peer::PeerNode &Node) {
  m_Remote.attach(Node);
  m_Tickets.attach(Node);
}

void TrafficNode::follow() {
  std::shared_ptr<const ControlView> View = m_Context.Views.current();
  if (View->Generation == m_AppliedGeneration)
    return;
  m_AppliedGeneration = View->Generation;
  m_Services.apply(*View);
  m_Owned.applyServices();
  m_Fleet.apply(*View);
  m_Poller.apply(*View);
  m_Queries.apply(std::move(View));
}

void TrafficNode::mergeVersions(
    const std::vector<ServiceReplicaVersions> &Heard, TimePoint HeardAt) {
  for (const ServiceReplicaVersions &Row : Heard) {
    if (ServiceTable::Entry Service = m_Services.find(Row.Service))
      Service->pinner().board().noteStatus(Row.Replica, HeardAt);
  }
}

http::Response TrafficNode::addresses(const http::Request &Request) {
  AddressQuestion Question{.Caller = Request.RemoteAddress};
  if (std::optional<std::string> Centre = Request.queryParameter("data_centre"))
    Question.Centre = DataCentre(*Centre);
  std::shared_ptr<const ControlView> View = m_Context.Views.current();
  AddressAnswer Answer = m_Addresses.answer(Question, View->Self, View->Others);
  nlohmann::json Body = {{"addresses", Answer.Addresses},
                         {"valid_ms", Answer.Valid.count()},
                         {"data_centre", m_Context.Config.Centre.value()}};
  return {.Status = 200, .Body = Body.dump()};
}

std::size_t TrafficNode::busy() const {
  return m_Listener->stats().Open + m_Remote.inFlight();
}

void TrafficNode::countListener() {
  http::ListenerStats Stats = m_Listener->stats();
  Metrics &Collected = m_Context.Collected;
  Collected.set("caller_connections_total", Stats.Accepted);
  Collected.set("caller_connections_refused_total", Stats.Refused);
  Collected.set("caller_requests_malformed_total", Stats.Malformed);
  Collected.set("caller_requests_oversized_total", Stats.Oversized);
  Collected.set("caller_requests_timed_out_total", Stats.TimedOut);
  Collected.set("caller_connections_open", Stats.Open);
}

void TrafficNode::beginDraining() { m_Listener->setDraining(true); }

void TrafficNode::closeListener() {
  m_Listener->stopAccepting();
  m_Listener->closeIdle();
}

asio::awaitable<void> TrafficNode::runHousekeeping() {
  asio::steady_timer Timer(m_Context.Io);
  while (true) {
    Timer.expires_after(HousekeepingPeriod);
    co_await Timer.async_wait(asio::use_awaitable);
    m_Owned.applyServices();
    m_Owned.countAll();
    m_Fleet.closeIdle();
    countListener();
    m_Context.Collected.set("backend_connections_opened_total",
                            m_Fleet.connectionsOpened());
  }
}

} // namespace carawaypond::daemon

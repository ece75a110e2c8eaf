#include "daemon/app/Daemon.h"

#include "core/signal/StopSignals.h"
#include "daemon/control/ControlNode.h"
#include "daemon/log/Log.h"
#include "daemon/metrics/Metrics.h"
#include "daemon/traffic/TrafficNode.h"
#include "daemon/view/ViewHolder.h"
#include "http/Listener.h"
#include "peer/node/PeerNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

/// @return The incarnation of this start. It is greater than those of earlier
/// starts, unless the wall clock of the VM is set back.
Incarnation newIncarnation() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  auto Micros = std::chrono::duration_cast<Microseconds>(Since).count();
  return Incarnation(static_cast<std::uint64_t>(Micros));
}

} // namespace

/// @brief The components of a daemon, in the order in which they are created.
/// They are destroyed in reverse order.
class Daemon::Impl {
public:
  explicit Impl(Settings Given)
      : m_Config(std::move(Given)), m_IncarnationNumber(newIncarnation()),
        m_ControlIo(1), m_TrafficIo(1),
        m_ControlWork(m_ControlIo.get_executor()),
        m_TrafficWork(m_TrafficIo.get_executor()),
        m_Signals(m_ControlIo, SIGTERM, SIGINT, SIGHUP) {}

  [[nodiscard]] const DaemonAddresses &addresses() const { return m_Addresses; }

  Result<void> open();
  void run();

private:
  [[nodiscard]] TrafficHandlers trafficHandlers();
  [[nodiscard]] ControlHandlers controlHandlers();
  [[nodiscard]] peer::PeerHandlers peerHandlers();
  Result<void> openPeers();
  Result<void> openOperators();
  void makeControl();
  void onDrainStep(VmDrainAction Action);
  void measureBusy();
  void awaitSignal();

  Settings m_Config;
  Incarnation m_IncarnationNumber;
  Metrics m_Metrics;
  ViewHolder m_Views;
  DaemonAddresses m_Addresses;
  asio::io_context m_ControlIo;
  asio::io_context m_TrafficIo;
  WorkGuard m_ControlWork;
  WorkGuard m_TrafficWork;
  asio::signal_set m_Signals;
  std::unique_ptr<TrafficNode> m_Traffic;
  std::unique_ptr<ControlNode> m_Control;
  std::unique_ptr<http::Listener> m_Operators;
  /// The number of open connections and unfinished subrequests, as last
  /// measured after the listener was closed. Until then it is 1, so that the
  /// graceful stop does not end.
  std::atomic<std::size_t> m_Busy = 1;
  std::atomic<bool> m_ListenerClosed = false;
  /// Its thread calls the components above, so it must be destroyed first.
  std::unique_ptr<peer::PeerNode> m_Peers;
};

Result<void> Daemon::Impl::open() {
  m_Traffic =
      std::make_unique<TrafficNode>(m_TrafficIo, m_Config, m_IncarnationNumber,
                                    m_Views, m_Metrics, trafficHandlers());
  if (Result<void> Started = m_Traffic->start(); !Started)
    return Started;
  if (Result<void> Opened = openOperators(); !Opened)
    return Opened;
  if (Result<void> Opened = openPeers(); !Opened)
    return Opened;
  m_Addresses = {.Callers = m_Traffic->address(),
                 .Operators = m_Operators->address(),
                 .Peers = m_Peers->address()};
  makeControl();
  m_Traffic->attach(*m_Peers);
  m_Control->attach(*m_Peers);
  return success();
}

Result<void> Daemon::Impl::openOperators() {
  auto Opened = http::Listener::open(
      m_ControlIo, {.Address = m_Config.Listen.Operators},
      [this](http::Request Request) {
        return m_Control->operators().handle(std::move(Request));
      });
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Operators = std::move(Opened.value());
  return success();
}

Result<void> Daemon::Impl::openPeers() {
  auto Opened = peer::PeerNode::open(
      {.Self = {.Vm = m_Config.Vm, .IncarnationNumber = m_IncarnationNumber},
       .ListenAddress = m_Config.Listen.Peers},
      peerHandlers());
  if (!Opened)
    return boost::outcome_v2::failure(Opened.error());
  m_Peers = std::move(Opened.value());
  return success();
}

void Daemon::Impl::makeControl() {
  VmRecord Self{.Name = m_Config.Vm,
                .IncarnationNumber = m_IncarnationNumber,
                .Centre = m_Config.Centre,
                .PeerAddress = m_Addresses.Peers,
                .CallerAddress = m_Addresses.Callers,
                .OperatorAddress = m_Addresses.Operators};
  m_Control = std::make_unique<ControlNode>(
      m_ControlIo, m_Config, Self, m_Views, m_Metrics, controlHandlers());
}

TrafficHandlers Daemon::Impl::trafficHandlers() {
  return {.OnDrainStatus =
              [this](const ServerName &Server, bool Leaving) {
                asio::post(m_ControlIo, [this, Server, Leaving] {
                  m_Control->onDrainStatus(Server, Leaving);
                });
              },
          .OnVersions =
              [this](std::vector<ServiceReplicaVersions> Rows) {
                asio::post(m_ControlIo, [this, Rows = std::move(Rows)] {
                  m_Control->onVersions(Rows);
                });
              }};
}

ControlHandlers Daemon::Impl::controlHandlers() {
  return {
      .OnView =
          [this] { asio::post(m_TrafficIo, [this] { m_Traffic->follow(); }); },
      .OnVersions =
          [this](std::vector<ServiceReplicaVersions> Rows) {
            TimePoint HeardAt = monotonicNow();
            asio::post(m_TrafficIo, [this, HeardAt, Rows = std::move(Rows)] {
              m_Traffic->mergeVersions(Rows, HeardAt);
            });
          },
      .OnDrainStep = [this](VmDrainAction Action) { onDrainStep(Action); },
      .Busy =
          [this] {
            measureBusy();
            return m_Busy.load();
          }};
}

peer::PeerHandlers Daemon::Impl::peerHandlers() {
  using Names = peer::PeerHandlers::Names;
  using Objects = peer::Reply<std::vector<peer::StoredObject>>;
  peer::PeerHandlers Handlers;
  Handlers.OnExchange = [this](const peer::PeerIdentity &, Digest Heard,
                               peer::Reply<Digest> Answer) {
    asio::post(m_ControlIo,
               [this, Heard = std::move(Heard), Answer = std::move(Answer)] {
                 m_Control->exchange().serve(Heard, Answer);
               });
  };
  Handlers.OnFetchServices = [this](Names Asked, Objects Answer) {
    asio::post(m_ControlIo,
               [this, Asked = std::move(Asked), Answer = std::move(Answer)] {
                 Answer(m_Control->exchange().services(Asked));
               });
  };
  Handlers.OnFetchIndexes = [this](Names Asked, Objects Answer) {
    asio::post(m_ControlIo,
               [this, Asked = std::move(Asked), Answer = std::move(Answer)] {
                 Answer(m_Control->exchange().indexes(Asked));
               });
  };
  Handlers.OnRun = [this](const peer::PeerIdentity &From,
                          std::vector<peer::PeerSubrequest> Batch,
                          peer::ResultSink Sink) {
    asio::post(m_TrafficIo,
               [this, From, Batch = std::move(Batch), Sink = std::move(Sink)] {
                 m_Traffic->remote().serve(From, Batch, Sink);
               });
  };
  Handlers.OnCancel = [this](const peer::PeerIdentity &From,
                             const std::vector<SubrequestId> &Ids) {
    asio::post(m_TrafficIo, [this, From, Ids] {
      m_Traffic->remote().serveCancel(From, Ids);
    });
  };
  Handlers.OnQuery = [this](const peer::PeerIdentity &, peer::PeerQuery Query,
                            peer::Reply<peer::PeerQueryAnswer> Answer) {
    asio::co_spawn(
        m_TrafficIo,
        [this, Query = std::move(Query),
         Answer = std::move(Answer)]() -> asio::awaitable<void> {
          co_await m_Traffic->tickets().serve(Query, Answer);
        },
        asio::detached);
  };
  return Handlers;
}

void Daemon::Impl::onDrainStep(VmDrainAction Action) {
  switch (Action) {
  case VmDrainAction::Announce:
    return;
  case VmDrainAction::StopListening:
    m_Operators->stopAccepting();
    [[fallthrough]];
  case VmDrainAction::CloseIdle:
    asio::post(m_TrafficIo, [this] {
      m_Traffic->closeListener();
      m_ListenerClosed = true;
    });
    return;
  case VmDrainAction::Exit:
    LOG4CXX_INFO(logger(), "graceful stop ends");
    m_ControlIo.stop();
    return;
  }
}

void Daemon::Impl::measureBusy() {
  if (!m_ListenerClosed)
    return;
  asio::post(m_TrafficIo, [this] { m_Busy = m_Traffic->busy(); });
}

void Daemon::Impl::awaitSignal() {
  m_Signals.async_wait([this](boost::system::error_code Failed, int Signal) {
    if (Failed)
      return;
    if (Signal != SIGHUP)
      m_Control->beginStop();
    awaitSignal();
  });
}

void Daemon::Impl::run() {
  awaitSignal();
  unblockStopSignals();
  m_Control->start();
  std::thread Traffic([this] { m_TrafficIo.run(); });
  m_ControlIo.run();
  m_TrafficIo.stop();
  Traffic.join();
  m_Peers.reset();
}

Daemon::Daemon(std::unique_ptr<Impl> Pimpl) : m_Impl(std::move(Pimpl)) {}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::open(Settings Config) {
  auto Made = std::make_unique<Impl>(std::move(Config));
  if (Result<void> Opened = Made->open(); !Opened)
    return boost::outcome_v2::failure(Opened.error());
  return std::unique_ptr<Daemon>(new Daemon(std::move(Made)));
}

const DaemonAddresses &Daemon::addresses() const { return m_Impl->addresses(); }

void Daemon::run() { m_Impl->run(); }

} // namespace carawaypond::daemon

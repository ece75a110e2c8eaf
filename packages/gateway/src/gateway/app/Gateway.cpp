#include "gateway/app/Gateway.h"

#include "adapter/StoreClient.h"
#include "coordination/drain/VmDrain.h"
#include "core/signal/StopSignals.h"
#include "gateway/app/ComponentOptions.h"
#include "gateway/app/MetricsText.h"
#include "gateway/control/ControlServers.h"
#include "gateway/control/ReaderFollower.h"
#include "gateway/control/StoreFollower.h"
#include "gateway/control/StoreRole.h"
#include "gateway/control/VmRegistration.h"
#include "gateway/peers/HeartbeatExchange.h"
#include "gateway/peers/PeerFetcher.h"
#include "gateway/quota/QuotaService.h"
#include "gateway/traffic/AttemptRate.h"
#include "gateway/traffic/CallerService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

namespace carawaypond::gateway {

namespace asio = boost::asio;

namespace {

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr Milliseconds TickInterval{100};
/// Between two collections of the slow answers that heartbeats report.
constexpr Milliseconds SlowAnswerInterval{300};
/// How long the directories of other VMs may still list this one after it began
/// to leave.
constexpr Milliseconds SpreadTime{300};
/// Times before the platform kills the process at which it ends the requests in
/// flight with an answer, and at which it exits.
constexpr Milliseconds AnswerBeforeKill{700};
constexpr Milliseconds ExitBeforeKill{350};

Incarnation newIncarnation() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  auto Micros = std::chrono::duration_cast<Microseconds>(Since).count();
  return Incarnation(static_cast<std::uint64_t>(Micros));
}

} // namespace

/// @brief The components, declared in the order of their construction.
class Gateway::Impl {
public:
  Impl(adapter::SiteSettings Given, GatewayOptions Own);

  [[nodiscard]] Addresses addresses() const;

  Result<void> open();
  void run();
  void stop();

private:
  [[nodiscard]] VmRecord record() const;
  [[nodiscard]] LoadedVm describe() const;
  [[nodiscard]] VmLoad load() const;
  [[nodiscard]] Heartbeat beat() const;
  /// @return What other VMs should know of requests that end replicas, now.
  [[nodiscard]] std::vector<QuarantineReport> quarantine() const;
  void publish(std::shared_ptr<const TrafficView> View);
  void proveConfig(BootTime AsOf);
  void followAllocator(std::optional<AllocatorRecord> Allocator);
  void awaitSignal();
  void beginStop();
  void tick();
  void stepDrain(TimePoint Now);
  void apply(VmDrainAction Action);
  void measureBusy();
  /// @brief Takes over the slow answers of the traffic thread, at intervals.
  void collectSlowAnswers();
  /// @brief Tells the traffic thread what another VM reports.
  void onSlowAnswers(const Heartbeat &Heard);
  /// @brief Has other VMs told of requests that end replicas.
  void tellQuarantine(std::vector<QuarantineReport> Reports, bool IsUrgent);
  /// @brief Tells the traffic thread what another VM reports.
  void onQuarantine(const Heartbeat &Heard);
  /// @brief Tells the traffic thread when another VM sees a high demand.
  void tellFleetDemand();

  adapter::SiteSettings m_Settings;
  GatewayOptions m_Options;
  Incarnation m_IncarnationNumber = newIncarnation();
  /// Declared before the components below, whose constructors call record().
  std::optional<TimePoint> m_StopBegunAt;
  EventLog m_Log{EventLogOptions{}};
  TrafficCounters m_Counters;
  LatencyMetrics m_Latencies;
  FollowOptions m_Follow = followOptions(m_Settings);
  asio::io_context m_ControlIo{1};
  asio::io_context m_TrafficIo{1};
  WorkGuard m_TrafficWork{m_TrafficIo.get_executor()};
  asio::signal_set m_Signals{m_ControlIo, SIGTERM, SIGINT, SIGHUP};
  asio::steady_timer m_Timer{m_ControlIo};
  CallerService m_Callers;
  FleetState m_State;
  AttemptRate m_AttemptRate;
  StoreHealth m_Health{m_Log};
  adapter::StoreClient m_Store;
  StoreRole m_Role;
  StoreFollower m_Config;
  StoreFollower m_Replicas;
  /// Absent if there are no evacuations.
  std::optional<StoreFollower> m_Evacuations;
  ReaderFollower m_Reader;
  PeerFetcher m_Fetcher;
  HeartbeatExchange m_Heartbeats;
  VmRegistration m_Registration;
  QuotaService m_Quota;
  ControlServers m_Servers;
  VmDrain m_Drain{
      {.SpreadTime = SpreadTime, .AddressLifetime = AddressLifetime}};
  bool m_IsFleetDemandHigh = false;
  std::vector<SlowAnswer> m_SlowAnswers; ///< Ages as of m_SlowAnswersAt.
  TimePoint m_SlowAnswersAt;
  std::vector<QuarantineReport> m_Quarantine; ///< Ages as of m_QuarantineAt.
  TimePoint m_QuarantineAt;
  TimePoint m_SlowAskedAt;             ///< Of the last collection.
  std::atomic<std::size_t> m_Busy = 1; ///< Last value of CallerService::busy().
};

Gateway::Impl::Impl(adapter::SiteSettings Given, GatewayOptions Own)
    : m_Settings(std::move(Given)), m_Options(Own),
      m_Callers(m_TrafficIo,
                trafficOptions(m_Settings, m_Options, m_IncarnationNumber),
                m_Counters, m_Latencies, m_Log,
                [this](const AllocatorReport &Report) {
                  asio::post(m_ControlIo,
                             [this, Report] { m_Quota.onReport(Report); });
                }),
      m_State(
          m_Settings.Vm, registryOptions(m_Settings), m_Log,
          [this] { return load(); },
          [this](std::shared_ptr<const TrafficView> View) {
            publish(std::move(View));
          },
          vmOptions(m_Settings)),
      m_Store(m_ControlIo.get_executor(), m_Settings.StoreAddress),
      m_Role(
          m_State, m_Log, m_Health, [this] { return describe(); },
          m_Follow.MaxAge, readerOptions(m_Settings)),
      m_Config(m_ControlIo, m_Store, m_State, m_Health, m_Role,
               configFollowOptions(m_Follow), ConfigSink(m_State)),
      m_Replicas(m_ControlIo, m_Store, m_State, m_Health, m_Role, m_Follow,
                 ReplicaSink(m_State, m_Log)),
      m_Reader(m_ControlIo, m_State, m_Role, m_Follow),
      m_Fetcher(m_ControlIo, m_State, m_Follow.MaxAge, m_Log,
                m_Settings.PeerAddress, m_Settings.Seeds),
      m_Heartbeats(
          m_ControlIo,
          {.Ip = m_Settings.Ip, .Port = m_Settings.FirstInternalPort}, m_State,
          [this] { return beat(); },
          [this](const Heartbeat &Heard) {
            m_State.onConfigHeard(Heard.ConfigVersion);
            m_Fetcher.onHeartbeat(Heard);
            m_Quota.onHeartbeat(Heard.Allocator);
            onSlowAnswers(Heard);
            onQuarantine(Heard);
          }),
      m_Registration(m_ControlIo, m_Store, m_State, m_Log, record(), m_Follow,
                     [this] { m_Heartbeats.sendToTargets(); }),
      m_Quota(
          m_ControlIo, m_Store, m_State, m_Log, quotaOptions(m_Settings),
          [this] { return describe(); },
          [this](std::optional<AllocatorRecord> Known) {
            followAllocator(std::move(Known));
          }),
      m_Servers(
          m_ControlIo, serverOptions(m_Settings, m_IncarnationNumber), m_State,
          [this] { return describe(); },
          [this] {
            return metricsText(m_Counters, m_Latencies, m_State,
                               m_Store.counts(), m_Quota, m_Log);
          },
          [this](const http::Request &Call) { return m_Quota.answer(Call); }) {
  if (m_Settings.EvacuationBound) {
    m_State.followEvacuations();
    m_Evacuations.emplace(m_ControlIo, m_Store, m_State, m_Health, m_Role,
                          m_Follow, EvacuationSink(m_State, m_Log));
  }
  m_Callers.onQuarantineChanged(
      [this](std::vector<QuarantineReport> Reports, bool IsUrgent) {
        asio::post(m_ControlIo,
                   [this, Reports = std::move(Reports), IsUrgent]() mutable {
                     tellQuarantine(std::move(Reports), IsUrgent);
                   });
      });
  if (m_Settings.RevocationBound)
    m_State.onProof([this](BootTime AsOf) { proveConfig(AsOf); });
}

VmLoad Gateway::Impl::load() const {
  return {.Capacity = m_Settings.Cores,
          .AttemptRate = m_AttemptRate.value(),
          .IsDemandHigh = m_Counters.DemandHigh > 0};
}

LoadedVm Gateway::Impl::describe() const {
  bool ReadsStore = !m_Health.isLost() && m_Store.counts().Reads > 0;
  return {.Record = record(), .Load = load(), .ReadsStore = ReadsStore};
}

VmRecord Gateway::Impl::record() const {
  VmRecord Self{.Name = m_Settings.Vm,
                .IncarnationNumber = m_IncarnationNumber,
                .Centre = m_Settings.Centre,
                .PeerAddress = m_Settings.PeerAddress,
                .CallerAddress = m_Settings.CallerAddress,
                .OperatorAddress = {}};
  if (m_StopBegunAt)
    Self.State = VmState::Leaving;
  else if (!m_State.isReady())
    Self.State = VmState::Suspect;
  return Self;
}

std::vector<QuarantineReport> Gateway::Impl::quarantine() const {
  auto Passed =
      std::chrono::duration_cast<Milliseconds>(monotonicNow() - m_QuarantineAt);
  std::vector<QuarantineReport> Reports = m_Quarantine;
  for (QuarantineReport &Each : Reports) {
    for (ReplicaCrash &Crash : Each.Crashes)
      Crash.Age += Passed;
    if (Each.SurvivedAge)
      *Each.SurvivedAge += Passed;
  }
  return Reports;
}

Heartbeat Gateway::Impl::beat() const {
  std::vector<SlowAnswer> Slow = m_SlowAnswers;
  for (SlowAnswer &Each : Slow)
    Each.Age += std::chrono::duration_cast<Milliseconds>(monotonicNow() -
                                                         m_SlowAnswersAt);
  return {.Vm = describe(),
          .ConfigVersion = m_State.configVersion(),
          .ReplicaRevision = m_State.replicaRevision(),
          .EvacuationRevision = m_State.evacuations().asOf(),
          .Presumed = m_State.replicas().presumed(),
          .Contact = m_State.storeContact(),
          .Allocator = m_Quota.newest(),
          .SlowAnswers = std::move(Slow),
          .Quarantine = quarantine()};
}

Result<void> Gateway::Impl::open() {
  Result<void> Started = m_Callers.start();
  if (Started)
    Started = m_Servers.start();
  if (Started)
    Started = m_Heartbeats.start();
  return Started;
}

Gateway::Addresses Gateway::Impl::addresses() const {
  return {.Callers = m_Callers.address(),
          .Ready = m_Servers.addresses().Ready,
          .Directory = m_Servers.addresses().Directory,
          .Peers = m_Servers.addresses().Peers,
          .Metrics = m_Servers.addresses().Metrics};
}

void Gateway::Impl::stop() {
  asio::post(m_ControlIo, [this] { beginStop(); });
}

void Gateway::Impl::publish(std::shared_ptr<const TrafficView> View) {
  asio::post(m_TrafficIo, [this, View = std::move(View)]() mutable {
    m_Callers.follow(std::move(View));
  });
}

void Gateway::Impl::proveConfig(BootTime AsOf) {
  // Posted after the view that it proves, which the traffic thread applies
  // first.
  asio::post(m_TrafficIo, [this, AsOf] { m_Callers.proveConfig(AsOf); });
}

void Gateway::Impl::followAllocator(std::optional<AllocatorRecord> Allocator) {
  bool IsSelf = Allocator && Allocator->Vm == m_Settings.Vm;
  asio::post(m_TrafficIo, [this, Allocator = std::move(Allocator)]() mutable {
    m_Callers.followAllocator(std::move(Allocator));
  });
  if (IsSelf)
    m_Heartbeats.sendToTargets();
}

void Gateway::Impl::awaitSignal() {
  m_Signals.async_wait([this](boost::system::error_code Failed, int Signal) {
    if (Failed)
      return;
    LogLine Line("signal");
    Line.add("number", Signal);
    m_Log.write(Line);
    if (Signal != SIGHUP)
      beginStop();
    awaitSignal();
  });
}

void Gateway::Impl::beginStop() {
  if (m_StopBegunAt)
    return;
  m_StopBegunAt = monotonicNow();
  for (VmDrainAction Each : m_Drain.begin(*m_StopBegunAt))
    apply(Each);
}

void Gateway::Impl::apply(VmDrainAction Action) {
  switch (Action) {
  case VmDrainAction::Announce:
    m_Quota.stop();
    m_Heartbeats.sendToTargets();
    asio::co_spawn(m_ControlIo, m_Registration.withdraw(), asio::detached);
    asio::post(m_TrafficIo, [this] { m_Callers.beginLeaving(); });
    return;
  case VmDrainAction::StopListening:
    return;
  case VmDrainAction::CloseIdle:
    asio::post(m_TrafficIo, [this] { m_Callers.closeIdle(); });
    measureBusy();
    return;
  case VmDrainAction::Exit:
    m_ControlIo.stop();
    return;
  }
}

void Gateway::Impl::measureBusy() {
  asio::post(m_TrafficIo, [this] { m_Busy = m_Callers.busy(); });
}

void Gateway::Impl::stepDrain(TimePoint Now) {
  for (VmDrainAction Each : m_Drain.tick(m_Busy, Now))
    apply(Each);
  TimePoint KillAt = *m_StopBegunAt + m_Settings.GracePeriod;
  TimePoint AnswerAt = KillAt - AnswerBeforeKill;
  // No caller should hold this VM's address any more: a request that may not
  // end in time is better served by another VM.
  if (m_Drain.closesConnections())
    asio::post(m_TrafficIo,
               [this, AnswerAt] { m_Callers.refuseBeyond(AnswerAt); });
  if (Now > AnswerAt)
    asio::post(m_TrafficIo, [this] { m_Callers.answerAll(); });
  if (Now > KillAt - ExitBeforeKill)
    m_ControlIo.stop();
}

void Gateway::Impl::tellFleetDemand() {
  std::vector<LoadedVm> Heard = m_State.vms().heard(monotonicNow());
  bool IsHigh =
      std::any_of(Heard.begin(), Heard.end(),
                  [](const LoadedVm &Each) { return Each.Load.IsDemandHigh; });
  if (IsHigh == m_IsFleetDemandHigh)
    return;
  m_IsFleetDemandHigh = IsHigh;
  asio::post(m_TrafficIo,
             [this, IsHigh] { m_Callers.setFleetDemandHigh(IsHigh); });
}

void Gateway::Impl::collectSlowAnswers() {
  TimePoint Now = monotonicNow();
  if (!m_Options.ReportsSlowReplicas ||
      Now - m_SlowAskedAt < SlowAnswerInterval)
    return;
  m_SlowAskedAt = Now;
  asio::post(m_TrafficIo, [this] {
    asio::post(m_ControlIo, [this, Slow = m_Callers.slowAnswers()]() mutable {
      m_SlowAnswers = std::move(Slow);
      m_SlowAnswersAt = monotonicNow();
    });
  });
}

void Gateway::Impl::onSlowAnswers(const Heartbeat &Heard) {
  if (!m_Options.ReportsSlowReplicas || Heard.SlowAnswers.empty())
    return;
  asio::post(m_TrafficIo,
             [this, From = Heard.Vm.Record.Name, Told = Heard.SlowAnswers] {
               m_Callers.onSlowAnswers(From, Told);
             });
}

void Gateway::Impl::tellQuarantine(std::vector<QuarantineReport> Reports,
                                   bool IsUrgent) {
  m_Quarantine = std::move(Reports);
  m_QuarantineAt = monotonicNow();
  if (IsUrgent)
    m_Heartbeats.sendToTargets();
}

void Gateway::Impl::onQuarantine(const Heartbeat &Heard) {
  if (Heard.Quarantine.empty())
    return;
  asio::post(m_TrafficIo, [this, Told = Heard.Quarantine] {
    m_Callers.onQuarantineReports(Told);
  });
}

void Gateway::Impl::tick() {
  m_AttemptRate.sample(m_Counters.Attempts, monotonicNow());
  m_State.tick();
  m_Quota.tick();
  tellFleetDemand();
  collectSlowAnswers();
  if (m_State.isReady())
    m_Drain.onReady();
  if (m_StopBegunAt)
    stepDrain(monotonicNow());
  m_Log.flush();
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([this](boost::system::error_code Stopped) {
    if (!Stopped)
      tick();
  });
}

void Gateway::Impl::run() {
  LogLine Started("started");
  Started.add("vm", m_Settings.Vm.value());
  Started.add("life", m_IncarnationNumber.value());
  if (m_Options.Balance != LoadBalance::LeastCost)
    Started.add("balance", nameOf(m_Options.Balance));
  m_Log.write(Started);
  awaitSignal();
  unblockStopSignals();
  asio::co_spawn(m_ControlIo, m_Config.run(), asio::detached);
  asio::co_spawn(m_ControlIo, m_Replicas.run(), asio::detached);
  if (m_Evacuations)
    asio::co_spawn(m_ControlIo, m_Evacuations->run(), asio::detached);
  asio::co_spawn(m_ControlIo, m_Reader.run(), asio::detached);
  asio::co_spawn(m_ControlIo, m_Registration.run(), asio::detached);
  asio::co_spawn(m_ControlIo, m_Fetcher.runUntilReady(), asio::detached);
  tick();
  std::thread Traffic([this] { m_TrafficIo.run(); });
  m_ControlIo.run();
  m_TrafficIo.stop();
  Traffic.join();
  m_Log.write(LogLine("stopped"));
  m_Log.flush();
}

Gateway::Gateway(std::unique_ptr<Impl> Pimpl) : m_Impl(std::move(Pimpl)) {}

Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::open(adapter::SiteSettings Settings,
                                               GatewayOptions Options) {
  auto Made = std::make_unique<Impl>(std::move(Settings), Options);
  if (Result<void> Opened = Made->open(); !Opened)
    return boost::outcome_v2::failure(Opened.error());
  return std::unique_ptr<Gateway>(new Gateway(std::move(Made)));
}

Gateway::Addresses Gateway::addresses() const { return m_Impl->addresses(); }

void Gateway::run() { m_Impl->run(); }

void Gateway::stop() { m_Impl->stop(); }

} // namespace carawaypond::gateway

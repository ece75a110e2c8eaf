#include "daemon/control/ControlNode.h"

#include "daemon/log/Log.h"
#include "peer/node/PeerNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds TickPeriod{500};
/// Shorter tick period during a graceful stop, so that the completion of
/// in-flight requests is noticed sooner.
constexpr Milliseconds StoppingTickPeriod{50};

} // namespace

ControlNode::ControlNode(asio::io_context &Io, const Settings &Config,
                         const VmRecord &Self, ViewHolder &Views,
                         Metrics &Collected, ControlHandlers Handlers)
    : m_Io(Io), m_Config(Config), m_Views(Views), m_Collected(Collected),
      m_Handlers(std::move(Handlers)),
      m_State{.Core = ::carawaypond::ControlNode(
                  {.Members = {.Self = Self, .TickPeriod = TickPeriod},
                   .Feed = {.Seed = Self.IncarnationNumber.value()},
                   .Stop = {.AddressLifetime = Config.AddressLifetime}}),
              .Indexes = {},
              .Versions = {},
              .OnChange = [this] { publish(); },
              .OnVersions = m_Handlers.OnVersions},
      m_Reader(Io, Config.Platform, m_State,
               Self.IncarnationNumber.value() + 1),
      m_Submissions(Io, m_State, m_Reader.objects()), m_Exchange(Io, m_State),
      m_RolloutChecker(Io, m_State),
      m_Api(m_State, m_Submissions, Collected,
            {.OnStop = [this] { return beginStop(); },
             .CheckRollout =
                 [this](ServiceName Service, ConfigVersion Version) {
                   return m_RolloutChecker.ask(std::move(Service), Version);
                 }}) {}

void ControlNode::attach(peer::PeerNode &Node) {
  m_Exchange.attach(Node);
  m_RolloutChecker.attach(Node);
}

void ControlNode::start() { asio::co_spawn(m_Io, run(), asio::detached); }

asio::awaitable<void> ControlNode::run() {
  asio::steady_timer Timer(m_Io);
  while (true) {
    tick(monotonicNow());
    bool IsStopping = m_State.Core.stop().phase() == VmPhase::Closing;
    Timer.expires_after(IsStopping ? StoppingTickPeriod : TickPeriod);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void ControlNode::tick(TimePoint Now) {
  std::size_t InFlight = m_Handlers.Busy() + m_Submissions.inFlight();
  ControlTick Wanted = m_State.Core.tick(InFlight, Now);
  for (const Contact &To : Wanted.Exchanges)
    m_Exchange.exchange(To.PeerAddress, To.Full);
  contactSeeds();
  m_Reader.tick(Wanted.ServiceReads, Now);
  for (VmDrainAction Action : Wanted.Stop)
    m_Handlers.OnDrainStep(Action);
  stopIfSuperseded();
  publish();
  count();
}

void ControlNode::contactSeeds() {
  if (!m_State.Core.members().isAlone())
    return;
  for (const std::string &Seed : m_Config.Seeds)
    m_Exchange.exchange(Seed, true);
}

void ControlNode::stopIfSuperseded() {
  bool IsServing = m_State.Core.stop().phase() == VmPhase::Serving;
  if (!IsServing || !m_State.Core.members().isSuperseded())
    return;
  LOG4CXX_WARN(logger(),
               "stopping: another VM reported a later incarnation of this VM");
  beginStop();
}

Milliseconds ControlNode::beginStop() {
  VmDrainOptions Times{.AddressLifetime = m_Config.AddressLifetime};
  LOG4CXX_INFO(logger(), "graceful stop requested");
  m_State.Core.beginStop(monotonicNow());
  publish();
  return Times.SpreadTime + Times.AddressLifetime;
}

void ControlNode::onDrainStatus(const ServerName &Server, bool Leaving) {
  TimePoint Now = monotonicNow();
  bool Before = m_State.Core.drains().isDraining(Server, Now);
  m_State.Core.onServerDrainStatus(Server, Leaving, Now);
  if (m_State.Core.drains().isDraining(Server, Now) != Before)
    publish();
}

void ControlNode::onVersions(const std::vector<ServiceReplicaVersions> &Rows) {
  static_cast<void>(m_State.Versions.take(Rows, monotonicNow()));
}

void ControlNode::publish() {
  if (std::optional<TimePoint> Until = m_State.Core.recency().serveUntil())
    m_Views.allowServingUntil(*Until);
  if (std::optional<TimePoint> Until = m_State.Core.sendGate().sendUntil())
    m_Views.allowSendingUntil(*Until);
  if (m_IsPublishPending)
    return;
  // Coalesces all changes of one event-loop step into one view.
  m_IsPublishPending = true;
  asio::post(m_Io, [this] {
    m_IsPublishPending = false;
    m_State.logNewConfigs();
    ++m_Generation;
    m_Views.publish(std::make_shared<const ControlView>(makeView()));
    m_Handlers.OnView();
  });
}

ControlView ControlNode::makeView() const {
  ControlView View{.Generation = m_Generation,
                   .Self = m_State.Core.members().self(),
                   .Others = m_State.Core.members().others(),
                   .IssuesTickets = m_State.Core.stop().issuesTickets()};
  for (const ConfigRegistry::Entry &Stored : m_State.Core.configs().services())
    View.Services[Stored->Content.Name] = {
        .Stored = Stored, .Index = m_State.Indexes.find(Stored->Content.Index)};
  std::vector<VmName> Owning = m_State.Core.members().liveVms();
  std::vector<VmRecord> All = View.Others;
  All.push_back(View.Self);
  for (const VmRecord &Vm : All) {
    if (Vm.State == VmState::Gone)
      continue;
    bool MayOwn = std::binary_search(Owning.begin(), Owning.end(), Vm.Name);
    View.Vms.push_back({.Name = Vm.Name,
                        .IncarnationNumber = Vm.IncarnationNumber,
                        .Centre = Vm.Centre,
                        .PeerAddress = Vm.PeerAddress,
                        .MayOwn = MayOwn});
  }
  for (const ServerName &Server :
       m_State.Core.drains().draining(monotonicNow()))
    View.LeavingServers.insert(Server);
  return View;
}

void ControlNode::count() {
  const platform::CallCounts &Calls = m_Reader.calls();
  m_Collected.set("store_gets_total", Calls.Gets);
  m_Collected.set("store_lists_total", Calls.Lists);
  m_Collected.set("store_watches_total", Calls.Watches);
  m_Collected.set("store_puts_total", Calls.Puts);
  m_Collected.set("store_calls_failed_total", Calls.Failed);
  m_Collected.set("vm_lists_total", m_Reader.vmListCalls().VmLists);
  m_Collected.set("vm_suspicions_total", m_State.Core.members().suspicions());
  m_Collected.set("vms_live", m_State.Core.members().liveVms().size());
}

} // namespace carawaypond::daemon

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
/// While stopping, what is still in flight is looked at more often.
constexpr Milliseconds StoppingTickPeriod{50};

} // namespace

ControlNode::ControlNode(asio::io_context &Io, const Settings &Config,
                         VmRecord Self, ViewHolder &Views, Metrics &Collected,
                         ControlHandlers Handlers)
    : m_Io(Io), m_Config(Config), m_Views(Views), m_Collected(Collected),
      m_Handlers(std::move(Handlers)),
      m_State{.Vms = Membership({.Self = Self, .TickPeriod = TickPeriod}),
              .Configs = ConfigBook(),
              .Indexes = {},
              .Versions = {},
              .Fresh = Freshness({}),
              .Gate = {},
              .Drains = ServerDrains({.Self = Self.Name, .Life = Self.Life}),
              .Drain = VmDrain({.AddressLifetime = Config.AddressLifetime}),
              .OnChange = [this] { publish(); },
              .OnVersions = m_Handlers.OnVersions},
      m_Reader(Io, Config.Platform, m_State, Self.Life.value()),
      m_Submissions(Io, m_State, m_Reader.objects()), m_Exchange(Io, m_State),
      m_Asker(Io, m_State),
      m_Api(m_State, m_Submissions, Collected,
            {.OnStop = [this] { return beginStop(); },
             .CheckForce =
                 [this](ServiceName Service, ConfigVersion Version) {
                   return m_Asker.ask(std::move(Service), Version);
                 }}) {}

void ControlNode::attach(peer::PeerNode &Node) {
  m_Exchange.attach(Node);
  m_Asker.attach(Node);
}

void ControlNode::start() {
  for (const std::string &Seed : m_Config.Seeds)
    m_Exchange.exchange(Seed, true);
  asio::co_spawn(m_Io, run(), asio::detached);
}

asio::awaitable<void> ControlNode::run() {
  asio::steady_timer Timer(m_Io);
  while (true) {
    tick(monotonicNow());
    bool IsStopping = m_State.Drain.phase() == VmPhase::Closing;
    Timer.expires_after(IsStopping ? StoppingTickPeriod : TickPeriod);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

void ControlNode::tick(TimePoint Now) {
  m_State.Fresh.tick(m_State.Vms.majorityAsOf(Now), Now);
  m_State.Vms.setInformed(m_State.Fresh.isInformed());
  exchangeDigests(Now);
  m_State.Gate.onHeard(m_State.Vms.directAsOf(Now));
  m_State.Drains.tick(Now);
  m_Reader.tick(Now);
  if (m_State.Fresh.mayServe(Now))
    m_State.Drain.onReady();
  tickDrain(Now);
  publish();
  count();
}

void ControlNode::exchangeDigests(TimePoint Now) {
  for (const Contact &To : m_State.Vms.tick(Now))
    m_Exchange.exchange(To.PeerAddress, To.Full);
  if (!m_State.Vms.isAlone())
    return;
  for (const std::string &Seed : m_Config.Seeds)
    m_Exchange.exchange(Seed, true);
}

void ControlNode::tickDrain(TimePoint Now) {
  if (m_State.Vms.isSuperseded() && m_State.Drain.phase() == VmPhase::Serving) {
    LOG4CXX_WARN(logger(), "a later incarnation of this VM was heard");
    beginStop();
  }
  std::size_t InFlight = m_Handlers.Busy() + m_Submissions.inFlight();
  for (VmDrainAction Action : m_State.Drain.tick(InFlight, Now))
    m_Handlers.OnDrainStep(Action);
}

Milliseconds ControlNode::beginStop() {
  VmDrainOptions Times{.AddressLifetime = m_Config.AddressLifetime};
  TimePoint Now = monotonicNow();
  for (VmDrainAction Action : m_State.Drain.begin(Now)) {
    LOG4CXX_INFO(logger(), "graceful stop begins");
    if (Action == VmDrainAction::Announce)
      m_State.Vms.leave();
    m_Handlers.OnDrainStep(Action);
  }
  publish();
  return Times.SpreadTime + Times.AddressLifetime;
}

void ControlNode::onDrainSign(const ServerName &Server, bool Leaving) {
  TimePoint Now = monotonicNow();
  bool Before = m_State.Drains.isDraining(Server, Now);
  m_State.Drains.observe(Server, Leaving, Now);
  if (m_State.Drains.isDraining(Server, Now) != Before)
    publish();
}

void ControlNode::onVersions(const std::vector<ServiceReplicaVersions> &Rows) {
  static_cast<void>(m_State.Versions.take(Rows, monotonicNow()));
}

void ControlNode::publish() {
  if (std::optional<TimePoint> Until = m_State.Fresh.serveUntil())
    m_Views.allowServingUntil(*Until);
  if (std::optional<TimePoint> Until = m_State.Gate.sendUntil())
    m_Views.allowSendingUntil(*Until);
  if (m_PublishPending)
    return;
  // Many changes in one step make one view.
  m_PublishPending = true;
  asio::post(m_Io, [this] {
    m_PublishPending = false;
    ++m_Generation;
    m_Views.publish(std::make_shared<const ControlView>(makeView()));
    m_Handlers.OnView();
  });
}

ControlView ControlNode::makeView() const {
  ControlView View{.Generation = m_Generation,
                   .Self = m_State.Vms.self(),
                   .Others = m_State.Vms.others(),
                   .GivesTickets = m_State.Drain.givesTickets()};
  for (const ConfigBook::Entry &Stored : m_State.Configs.services())
    View.Services[Stored->Content.Name] = {
        .Stored = Stored, .Index = m_State.Indexes.find(Stored->Content.Index)};
  std::vector<VmName> Owning = m_State.Vms.liveVms();
  std::vector<VmRecord> All = View.Others;
  All.push_back(View.Self);
  for (const VmRecord &Vm : All) {
    if (Vm.State == VmState::Gone)
      continue;
    bool MayOwn = std::binary_search(Owning.begin(), Owning.end(), Vm.Name);
    View.Vms.push_back({.Name = Vm.Name,
                        .Life = Vm.Life,
                        .Centre = Vm.Centre,
                        .PeerAddress = Vm.PeerAddress,
                        .MayOwn = MayOwn});
  }
  for (const ServerName &Server : m_State.Drains.draining(monotonicNow()))
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
  m_Collected.set("vm_suspicions_total", m_State.Vms.suspicions());
  m_Collected.set("vms_live", m_State.Vms.liveVms().size());
}

} // namespace carawaypond::daemon

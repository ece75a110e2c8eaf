#include "FleetModel.h"

#include <algorithm>
#include <utility>

namespace carawaypond::proof {

namespace {

constexpr Milliseconds CallTimeout(1000);

template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace

FleetModel::FleetModel(std::uint32_t Seed, int Vms, int Centres, Faults Chances)
    : m_Random(Seed), m_Faults(Chances), m_Slots(Vms) {
  for (int I = 0; I < Vms; ++I) {
    m_Slots[I].Name = VmName("vm-" + std::to_string(I));
    m_Slots[I].Centre = DataCentre("dc-" + std::to_string(I % Centres));
    m_Listed.push_back({.Name = m_Slots[I].Name,
                        .Centre = m_Slots[I].Centre,
                        .PeerAddress = m_Slots[I].Name.value()});
  }
  for (std::size_t I = 0; I < m_Slots.size(); ++I)
    start(I);
}

int FleetModel::draw(int Below) {
  return std::uniform_int_distribution(0, Below - 1)(m_Random);
}

bool FleetModel::chance(int InThousand) { return draw(1000) < InThousand; }

bool FleetModel::isLost() {
  return m_WithFaults && draw(100) < m_Faults.LossPercent;
}

Duration FleetModel::delay() {
  return Milliseconds(draw(static_cast<int>(m_Faults.MaxDelay.count()) + 1));
}

bool FleetModel::isRunning(const Slot &Vm) const {
  return Vm.Node && Vm.PausedUntil <= m_Now;
}

std::size_t FleetModel::indexOf(const VmName &Name) const {
  auto Found = std::find_if(m_Slots.begin(), m_Slots.end(),
                            [&](const Slot &Vm) { return Vm.Name == Name; });
  return static_cast<std::size_t>(Found - m_Slots.begin());
}

bool FleetModel::canCommunicate(std::size_t From, std::size_t To) const {
  return m_Slots[From].Group == m_Slots[To].Group;
}

bool FleetModel::isStoreReachable(std::size_t Vm) {
  return m_Now >= m_StoreDownUntil && m_Slots[Vm].CanReachStore && !isLost();
}

void FleetModel::start(std::size_t Vm) {
  Slot &State = m_Slots[Vm];
  ++State.IncarnationNumber;
  ControlNodeOptions Options;
  Options.Members.Self = {.Name = State.Name,
                          .IncarnationNumber =
                              Incarnation(State.IncarnationNumber),
                          .Centre = State.Centre,
                          .PeerAddress = State.Name.value(),
                          .CallerAddress = State.Name.value(),
                          .OperatorAddress = {}};
  Options.Feed.Seed = m_Random();
  State.Node = std::make_unique<ControlNode>(Options);
  State.Node->onVmList(m_Listed, m_Now);
  State.NextTick = m_Now + Milliseconds(draw(500));
  State.LastFaultEnd = m_Now;
}

void FleetModel::step(const std::function<void()> &Check) {
  m_Now += Step;
  if (m_WithFaults)
    injectFaults();
  Check();
  for (Slot &Vm : m_Slots)
    if (isRunning(Vm) && !Vm.Inbox.empty())
      wake(Vm);
  while (!m_Queue.empty() && m_Queue.top().At <= m_Now) {
    std::function<void()> Run = m_Queue.top().Run;
    m_Queue.pop();
    ++m_Events;
    Run();
  }
  for (std::size_t I = 0; I < m_Slots.size(); ++I) {
    Slot &Vm = m_Slots[I];
    if (!Vm.Node && m_Now >= Vm.StartAt)
      start(I);
    if (isRunning(Vm) && m_Now >= Vm.NextTick)
      tick(I);
  }
}

void FleetModel::wake(Slot &Vm) {
  std::vector<std::function<void()>> Missed;
  Missed.swap(Vm.Inbox);
  std::shuffle(Missed.begin(), Missed.end(), m_Random);
  for (const std::function<void()> &Each : Missed)
    Each();
}

void FleetModel::recordFault(Slot &Vm, TimePoint Until) {
  Vm.LastFaultEnd = std::max(Vm.LastFaultEnd, Until);
  m_FaultFreeSince = std::max(m_FaultFreeSince, Until);
}

void FleetModel::restart(std::size_t Vm, Duration Down) {
  Slot &State = m_Slots[Vm];
  State.Node.reset();
  State.Inbox.clear();
  State.PausedUntil = m_Now;
  State.StartAt = m_Now + Down;
  recordFault(State, State.StartAt);
}

void FleetModel::injectFaults() {
  m_FaultFreeSince = std::max(m_FaultFreeSince, m_Now);
  for (Slot &Vm : m_Slots) {
    if (chance(m_Faults.Pause)) {
      auto Longest = static_cast<int>(m_Faults.LongestPause.count());
      Vm.PausedUntil =
          std::max(Vm.PausedUntil, m_Now + Milliseconds(draw(Longest)));
      recordFault(Vm, Vm.PausedUntil);
    }
    if (Vm.Node && chance(m_Faults.Restart))
      restart(indexOf(Vm.Name), Milliseconds(draw(4000)));
  }
  if (chance(m_Faults.StoreOutage))
    m_StoreDownUntil = m_Now + Milliseconds(draw(20000));
  if (m_Now >= m_PartitionedUntil)
    for (Slot &Vm : m_Slots) {
      Vm.Group = 0;
      Vm.CanReachStore = true;
    }
  if (!chance(m_Faults.Partition))
    return;
  auto Longest = static_cast<int>(m_Faults.LongestPartition.count());
  m_PartitionedUntil = m_Now + Milliseconds(draw(Longest));
  for (Slot &Vm : m_Slots) {
    Vm.Group = draw(2);
    Vm.CanReachStore = draw(4) != 0;
  }
}

void FleetModel::stopFaults() {
  m_WithFaults = false;
  m_StoreDownUntil = m_Now;
  m_PartitionedUntil = m_Now;
  for (Slot &Vm : m_Slots) {
    Vm.Group = 0;
    Vm.CanReachStore = true;
    Vm.PausedUntil = std::min(Vm.PausedUntil, m_Now);
    Vm.StartAt = std::min(Vm.StartAt, m_Now);
  }
  m_FaultFreeSince = m_Now;
}

void FleetModel::schedule(TimePoint At, std::function<void()> Run) {
  m_Queue.push({.At = At, .Order = m_Events++, .Run = std::move(Run)});
}

void FleetModel::deliver(std::size_t Vm, std::function<void()> Event) {
  std::uint64_t IncarnationNumber = m_Slots[Vm].IncarnationNumber;
  schedule(m_Now + delay(),
           [this, Vm, IncarnationNumber, Event = std::move(Event)] {
             Slot &State = m_Slots[Vm];
             if (!State.Node || State.IncarnationNumber != IncarnationNumber)
               return;
             if (isRunning(State))
               Event();
             else
               State.Inbox.push_back(Event);
           });
}

void FleetModel::tick(std::size_t Vm) {
  Slot &State = m_Slots[Vm];
  State.NextTick = m_Now + Milliseconds(500);
  ControlTick Wanted = State.Node->tick(0, m_Now);
  for (const Contact &To : Wanted.Exchanges)
    exchange(Vm, To);
  for (const StoreReadAction &Action : Wanted.ServiceReads)
    std::visit(Overloaded{[&](const ListObjects &) { list(Vm); },
                          [&](const WatchObjects &Watch) { watch(Vm, Watch); }},
               Action);
}

void FleetModel::exchange(std::size_t From, const Contact &To) {
  std::size_t Other = indexOf(To.Name);
  if (!canCommunicate(From, Other) || isLost())
    return;
  Digest Request = m_Slots[From].Node->makeDigest(To.Full, m_Now);
  TimePoint SentAt = m_Now;
  std::uint64_t IncarnationNumber = m_Slots[From].IncarnationNumber;
  deliver(Other, [=, this, Full = To.Full] {
    ControlNode &Peer = *m_Slots[Other].Node;
    if (auto Wanted = Peer.onRequest(Request, m_Now))
      fetch(Other, From, *Wanted);
    if (!canCommunicate(From, Other) || isLost() ||
        m_Slots[From].IncarnationNumber != IncarnationNumber)
      return;
    Digest Reply = Peer.makeDigest(Full, m_Now);
    deliver(From, [=, this] {
      if (auto Wanted = m_Slots[From].Node->onReply(Reply, SentAt, m_Now))
        fetch(From, Other, *Wanted);
    });
  });
}

void FleetModel::fetch(std::size_t From, std::size_t To,
                       const ConfigFetch &Wanted) {
  if (!canCommunicate(From, To) || isLost())
    return;
  std::uint64_t IncarnationNumber = m_Slots[From].IncarnationNumber;
  deliver(To, [=, this] {
    std::vector<StoredService> Newer;
    for (const ConfigRegistry::Entry &Each :
         m_Slots[To].Node->configs().newerThan(Wanted.Held,
                                               ControlNode::MaxFetched))
      Newer.push_back(*Each);
    Incarnation ResponderIncarnation(m_Slots[To].IncarnationNumber);
    if (!canCommunicate(From, To) || isLost() ||
        m_Slots[From].IncarnationNumber != IncarnationNumber)
      return;
    deliver(From, [=, this] {
      m_Slots[From].Node->onFetched(Wanted, ResponderIncarnation, Newer, m_Now);
    });
  });
}

std::vector<StoredService> FleetModel::storedServices() const {
  std::vector<StoredService> All;
  for (const auto &[Name, Object] : m_Store)
    All.push_back(Object.Value);
  return All;
}

void FleetModel::list(std::size_t Vm) {
  TimePoint SentAt = m_Now;
  if (!isStoreReachable(Vm)) {
    deliver(Vm, [=, this] { m_Slots[Vm].Node->onServiceListFailed(m_Now); });
    return;
  }
  std::uint64_t IncarnationNumber = m_Slots[Vm].IncarnationNumber;
  schedule(m_Now + delay(), [=, this] {
    if (m_Slots[Vm].IncarnationNumber != IncarnationNumber)
      return;
    std::vector<StoredService> All = storedServices();
    std::uint64_t Revision = m_Revision;
    deliver(Vm, [=, this] {
      m_Slots[Vm].Node->onServiceList(Revision, All, SentAt, m_Now);
    });
  });
}

// The watch is outdated: it returns what was stored when it was requested.
void FleetModel::watch(std::size_t Vm, const WatchObjects &Action) {
  if (!isStoreReachable(Vm)) {
    deliver(Vm, [=, this] { m_Slots[Vm].Node->onServiceWatchFailed(m_Now); });
    return;
  }
  std::vector<StoredService> Snapshot = storedServices();
  std::uint64_t Revision = std::max(m_Revision, Action.After);
  std::uint64_t IncarnationNumber = m_Slots[Vm].IncarnationNumber;
  schedule(m_Now + Milliseconds(draw(3000)), [=, this] {
    if (m_Slots[Vm].IncarnationNumber == IncarnationNumber)
      deliver(Vm, [=, this] {
        m_Slots[Vm].Node->onServiceWatch(Revision, Snapshot, m_Now);
      });
  });
}

void FleetModel::read(std::size_t Vm, const ReadObject &Action,
                      const ReadDone &Done) {
  TimePoint At = m_Now + Action.After + delay();
  if (!isStoreReachable(Vm)) {
    schedule(At, [=, this] {
      deliver(Vm, [=] { Done(failure(ErrorCode::NotConnected, "down")); });
    });
    return;
  }
  std::uint64_t IncarnationNumber = m_Slots[Vm].IncarnationNumber;
  schedule(At, [=, this] {
    if (m_Slots[Vm].IncarnationNumber != IncarnationNumber)
      return;
    auto Found = m_Store.find(Action.Service);
    std::optional<StoredObject> Object;
    if (Found != m_Store.end())
      Object = Found->second;
    deliver(Vm, [=] { Done(Object); });
  });
}

void FleetModel::write(std::size_t Vm, const WriteObject &Action,
                       const WriteDone &Done) {
  if (!isStoreReachable(Vm)) {
    deliver(Vm, [=] { Done(WriteResult::InDoubt); });
    return;
  }
  bool IsAnswerLost = isLost();
  // A write whose response is lost may still take effect, also later.
  Duration WriteDelay =
      IsAnswerLost ? Duration(Milliseconds(draw(3000))) : delay();
  std::uint64_t IncarnationNumber = m_Slots[Vm].IncarnationNumber;
  schedule(m_Now + WriteDelay, [=, this] {
    WriteResult Answer = WriteResult::Written;
    applyWrite(Action, Answer);
    if (!IsAnswerLost && m_Slots[Vm].IncarnationNumber == IncarnationNumber)
      deliver(Vm, [=] { Done(Answer); });
  });
  if (IsAnswerLost)
    schedule(m_Now + CallTimeout, [=, this] {
      if (m_Slots[Vm].IncarnationNumber == IncarnationNumber)
        deliver(Vm, [=] { Done(WriteResult::InDoubt); });
    });
}

void FleetModel::applyWrite(const WriteObject &Action, WriteResult &Answer) {
  const ServiceName &Name = Action.Value.Content.Name;
  auto Found = m_Store.find(Name);
  bool Matches = Found == m_Store.end()
                     ? !Action.IfVersion
                     : Action.IfVersion == Found->second.ObjectVersion;
  if (!Matches) {
    Answer = WriteResult::ConditionFailed;
    return;
  }
  ++m_Revision;
  m_Store[Name] = {.ObjectVersion = m_Revision, .Value = Action.Value};
  m_Log[Name][Action.Value.Version] = {.Submission = Action.Value.Submission,
                                       .At = m_Now};
}

} // namespace carawaypond::proof

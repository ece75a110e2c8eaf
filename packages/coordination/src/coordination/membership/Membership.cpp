#include "coordination/membership/Membership.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace carawaypond {

namespace {

constexpr std::size_t MaxDirectPeers = 3;
// A VM that knows no live VM stops waiting for an answer after this time.
constexpr std::uint64_t NoPeerTimeoutMillis = 5000;
constexpr std::uint32_t AnnouncementFactor = 3; // times log2 of VM count

} // namespace

Membership::Membership(MembershipOptions Options)
    : m_Options(std::move(Options)), m_Self(m_Options.Self),
      m_Table(m_Options.MaxVms), m_Majority(m_Self.Centre) {
  CARAWAYPOND_INVARIANT(m_Self.IncarnationNumber.value() > 0,
                        "life 0 is reserved for VMs that were never heard");
}

std::vector<VmRecord> Membership::others() const {
  std::vector<VmRecord> All;
  for (const auto &[Name, Record] : m_Table.records())
    All.push_back(Record);
  return All;
}

std::vector<VmName> Membership::liveVms() const {
  std::vector<VmName> Live;
  for (const auto &[Name, Record] : m_Table.records())
    if (Record.State == VmState::Live)
      Live.push_back(Name);
  if (m_Self.State == VmState::Live)
    Live.push_back(m_Self.Name);
  std::sort(Live.begin(), Live.end());
  return Live;
}

VmState Membership::stateOf(const VmName &Name) const {
  std::optional<VmRecord> Record = find(Name);
  return Record ? Record->State : VmState::Gone;
}

std::optional<VmRecord> Membership::find(const VmName &Name) const {
  if (Name == m_Self.Name)
    return m_Self;
  const VmRecord *Known = m_Table.find(Name);
  return Known ? std::optional(*Known) : std::nullopt;
}

bool Membership::mayStillRun(const VmRecord &Record) const {
  if (Record.State == VmState::Live)
    return true;
  const VmMonitor &Monitor = m_Monitors.at(Record.Name);
  if (Record.State == VmState::Leaving || Monitor.AnnouncedLeaving)
    return false;
  bool HasLaterList =
      m_ListedAt && Monitor.SuspectedAt && *m_ListedAt > *Monitor.SuspectedAt;
  return !HasLaterList ||
         std::any_of(m_Listed.begin(), m_Listed.end(), [&](const ListedVm &Vm) {
           return Vm.Name == Record.Name;
         });
}

std::size_t Membership::countOthers() const {
  const VmTable::Records &All = m_Table.records();
  auto Others = std::count_if(All.begin(), All.end(), [&](const auto &Entry) {
    return mayStillRun(Entry.second);
  });
  return static_cast<std::size_t>(Others);
}

std::optional<TimePoint> Membership::majorityAsOf(TimePoint Now) const {
  return m_Majority.majorityAsOf(countOthers() + 1, Now);
}

std::optional<TimePoint> Membership::directAsOf(TimePoint Now) const {
  std::size_t Others = liveVms().size();
  Others -= m_Self.State == VmState::Live ? 1 : 0;
  bool HasStoppedWaiting = awakeMillis(Now) >= NoPeerTimeoutMillis || isAlone();
  if (Others == 0 && HasStoppedWaiting)
    return Now;
  std::size_t Half = (livePeers().size() + 1) / 2;
  return m_Majority.directAsOf(
      std::clamp<std::size_t>(Half, 1, MaxDirectPeers));
}

std::vector<Contact> Membership::tick(TimePoint Now) {
  discountPause(Now);
  ++m_Self.Counter;
  updateStates(Now);
  std::vector<Contact> Contacts;
  addPeers(Contacts);
  addCentres(Contacts);
  addListed(Contacts);
  return Contacts;
}

void Membership::discountPause(TimePoint Now) {
  CARAWAYPOND_INVARIANT(!m_LastTick || Now >= *m_LastTick,
                        "monotonic clock went backwards");
  Duration Gap = m_LastTick ? Now - *m_LastTick : Duration(0);
  m_LastTick = Now;
  if (!m_AwakeSince || Gap > m_Options.PauseBound)
    m_AwakeSince = Now;
  if (Gap <= m_Options.PauseBound)
    return;
  for (auto &[Name, Monitor] : m_Monitors) {
    Monitor.Arrivals.shift(Gap);
    if (Monitor.SuspectedAt)
      *Monitor.SuspectedAt += Gap;
  }
}

void Membership::updateStates(TimePoint Now) {
  std::vector<VmName> Forgotten;
  for (const auto &[Name, Record] : m_Table.records()) {
    VmMonitor &Monitor = m_Monitors[Name];
    updateState(Record, Monitor, Now);
    if (Record.State == VmState::Gone && !mayStillRun(Record) &&
        Monitor.SuspectedAt &&
        Now - *Monitor.SuspectedAt > m_Options.ForgetAfter)
      Forgotten.push_back(Name);
  }
  for (const VmName &Name : Forgotten) {
    m_Table.erase(Name);
    m_Monitors.erase(Name);
    m_Majority.forget(Name);
  }
}

void Membership::updateState(const VmRecord &Record, VmMonitor &Monitor,
                             TimePoint Now) {
  if (!isSilent(Record, Monitor, Now)) {
    if (Record.State == VmState::Live)
      Monitor.SuspectedAt.reset();
    return;
  }
  if (!Monitor.SuspectedAt)
    Monitor.SuspectedAt = Now;
  if (Record.State == VmState::Live)
    changeState(Record.Name, Monitor, VmState::Suspect);
  else if (Record.State != VmState::Gone &&
           Now - *Monitor.SuspectedAt > m_Options.GoneAfter)
    changeState(Record.Name, Monitor, VmState::Gone);
}

bool Membership::isSilent(const VmRecord &Record, const VmMonitor &Monitor,
                          TimePoint Now) const {
  if (Record.State == VmState::Gone || Record.State == VmState::Suspect)
    return true;
  std::optional<TimePoint> Last = Monitor.Arrivals.lastHeard();
  if (!Last)
    return true;
  if (Record.Centre == m_Self.Centre)
    return Now - *Last > Monitor.Arrivals.timeout(m_Options.SuspectFloor,
                                                  m_Options.SuspectCeiling);
  std::optional<TimePoint> Centre = m_Majority.centreAsOf(Record.Centre);
  TimePoint Newest = std::max(*Last, Centre.value_or(*Last));
  return Now - Newest > m_Options.CentreSilence;
}

void Membership::changeState(const VmName &Name, VmMonitor &Monitor,
                             VmState State) {
  if (State == VmState::Suspect)
    ++m_Suspicions;
  m_Table.worsenState(Name, State);
  Monitor.Announcements = announcements();
}

std::uint32_t Membership::announcements() const {
  auto Vms = static_cast<std::uint32_t>(m_Table.records().size());
  return AnnouncementFactor * static_cast<std::uint32_t>(std::bit_width(Vms));
}

std::vector<VmName> Membership::livePeers() const {
  std::vector<VmName> Peers;
  for (const auto &[Name, Record] : m_Table.records())
    if (Record.Centre == m_Self.Centre && Record.State == VmState::Live)
      Peers.push_back(Name);
  return Peers;
}

std::vector<VmName>
Membership::representatives(const DataCentre &Centre) const {
  std::vector<VmName> Chosen;
  std::vector<VmName> Spare;
  for (const auto &[Name, Record] : m_Table.records()) {
    if (Record.Centre != Centre || Record.State == VmState::Gone)
      continue;
    (Record.State == VmState::Live ? Chosen : Spare).push_back(Name);
  }
  if (Centre == m_Self.Centre && m_Self.State == VmState::Live)
    Chosen.push_back(m_Self.Name);
  std::sort(Chosen.begin(), Chosen.end());
  Chosen.insert(Chosen.end(), Spare.begin(), Spare.end());
  Chosen.resize(std::min(Chosen.size(), m_Options.Representatives));
  return Chosen;
}

void Membership::addPeers(std::vector<Contact> &Contacts) {
  std::vector<const VmRecord *> Peers;
  for (const auto &[Name, Record] : m_Table.records())
    if (Record.Centre == m_Self.Centre && Record.State != VmState::Gone)
      Peers.push_back(&Record);
  auto First = std::find_if(Peers.begin(), Peers.end(), [&](const auto *Peer) {
    return Peer->Name > m_PeerCursor;
  });
  std::rotate(Peers.begin(), First, Peers.end());
  Peers.resize(std::min(Peers.size(), m_Options.PeersPerTick));
  for (const VmRecord *Peer : Peers)
    Contacts.push_back({.Name = Peer->Name,
                        .PeerAddress = Peer->PeerAddress,
                        .Full = Contacts.size() < m_Options.FullPerTick});
  // If every peer is contacted in each tick, the cursor advances by the number
  // of full digests, so that every peer receives one in turn.
  std::size_t Step = Peers.size() < m_Options.PeersPerTick
                         ? std::min(Peers.size(), m_Options.FullPerTick)
                         : Peers.size();
  if (Step > 0)
    m_PeerCursor = Peers[Step - 1]->Name;
}

void Membership::addCentres(std::vector<Contact> &Contacts) {
  std::vector<VmName> Own = representatives(m_Self.Centre);
  if (std::find(Own.begin(), Own.end(), m_Self.Name) == Own.end())
    return;
  std::set<DataCentre> Known;
  for (const auto &[Name, Record] : m_Table.records())
    if (Record.Centre != m_Self.Centre && Record.State != VmState::Gone)
      Known.insert(Record.Centre);
  std::vector<DataCentre> Centres(Known.begin(), Known.end());
  std::rotate(Centres.begin(),
              std::upper_bound(Centres.begin(), Centres.end(), m_CentreCursor),
              Centres.end());
  Centres.resize(std::min(Centres.size(), m_Options.CentresPerTick));
  for (const DataCentre &Centre : Centres) {
    std::vector<VmName> There = representatives(Centre);
    const VmName &Chosen = There[m_Self.Counter % There.size()];
    Contacts.push_back({.Name = Chosen,
                        .PeerAddress = m_Table.find(Chosen)->PeerAddress,
                        .Full = true});
    m_CentreCursor = Centre;
  }
}

void Membership::addListed(std::vector<Contact> &Contacts) {
  for (std::size_t I = 0; I < m_Listed.size(); ++I) {
    m_ListedCursor = (m_ListedCursor + 1) % m_Listed.size();
    const ListedVm &Vm = m_Listed[m_ListedCursor];
    if (Vm.Name == m_Self.Name || stateOf(Vm.Name) != VmState::Gone)
      continue;
    Contacts.push_back(
        {.Name = Vm.Name, .PeerAddress = Vm.PeerAddress, .Full = true});
    return;
  }
}

std::uint64_t Membership::awakeMillis(TimePoint Now) const {
  bool JustWoke = !m_LastTick || Now - *m_LastTick > m_Options.PauseBound;
  if (JustWoke)
    return 0;
  Duration Awake = Now - *m_AwakeSince;
  return static_cast<std::uint64_t>(
      std::chrono::floor<Milliseconds>(Awake).count());
}

void Membership::fill(Digest &Out, bool Full, TimePoint Now) {
  Out.Sender = m_Self;
  Out.AwakeMillis = awakeMillis(Now);
  if (!Full)
    return;
  Out.Centres = m_Majority.summary(Now, m_Options.HeardWindow);
  for (auto &[Name, Monitor] : m_Monitors) {
    const VmRecord *Record = m_Table.find(Name);
    if (Monitor.Announcements == 0 || !Record)
      continue;
    if (Out.Vms.size() >= m_Options.RecordsPerDigest)
      break;
    --Monitor.Announcements;
    Out.Vms.push_back(*Record);
  }
  std::size_t Left = m_Options.RecordsPerDigest - Out.Vms.size();
  for (VmRecord &Record : m_Table.rotate(Left))
    Out.Vms.push_back(std::move(Record));
  CARAWAYPOND_INVARIANT(Out.Vms.size() <= m_Options.RecordsPerDigest,
                        "digest exceeds the maximum number of records");
}

void Membership::onRequest(const Digest &Heard, TimePoint Now) {
  onDigest(Heard, Now);
}

void Membership::onReply(const Digest &Heard, bool Covers, TimePoint SentAt,
                         TimePoint Now) {
  CARAWAYPOND_INVARIANT(SentAt <= Now,
                        "reply received before its request was sent");
  m_Majority.onReply(Heard, Covers, SentAt);
  onDigest(Heard, Now);
}

void Membership::onDigest(const Digest &Heard, TimePoint Now) {
  mergeRecord(Heard.Sender, true, Now);
  for (const VmRecord &Record : Heard.Vms)
    mergeRecord(Record, false, Now);
}

void Membership::mergeRecord(const VmRecord &Record, bool Direct,
                             TimePoint Now) {
  if (Record.Name == m_Self.Name) {
    refuteSuspicion(Record);
    return;
  }
  VmTable::Change What = m_Table.merge(Record);
  if (!m_Table.find(Record.Name))
    return;
  VmMonitor &Monitor = m_Monitors[Record.Name];
  bool IsSameIncarnation =
      m_Table.find(Record.Name)->IncarnationNumber == Record.IncarnationNumber;
  bool HasLaterHeartbeat =
      What != VmTable::Change::None && Record.State == VmState::Live;
  if (IsSameIncarnation && (Direct || HasLaterHeartbeat))
    Monitor.Arrivals.record(Now);
  if (What == VmTable::Change::Notable) {
    Monitor.Announcements = announcements();
    Monitor.AnnouncedLeaving =
        Record.State == VmState::Leaving ||
        (Monitor.AnnouncedLeaving && Record.State != VmState::Live);
  }
  if (m_Table.find(Record.Name)->State == VmState::Live)
    Monitor.SuspectedAt.reset();
}

void Membership::refuteSuspicion(const VmRecord &Record) {
  m_Superseded =
      m_Superseded || Record.IncarnationNumber > m_Self.IncarnationNumber;
  if (Record.IncarnationNumber == m_Self.IncarnationNumber &&
      Record.State > m_Self.State)
    m_Self.Counter = std::max(m_Self.Counter, Record.Counter + 1);
}

void Membership::onVmList(const std::vector<ListedVm> &Listed, TimePoint Now) {
  m_Listed = Listed;
  m_ListedAt = Now;
  for (const ListedVm &Vm : Listed) {
    if (Vm.Name == m_Self.Name || Vm.Leaving || m_Table.find(Vm.Name))
      continue;
    VmRecord Seed{.Name = Vm.Name,
                  .IncarnationNumber = Incarnation(0),
                  .Centre = Vm.Centre,
                  .PeerAddress = Vm.PeerAddress,
                  .CallerAddress = {},
                  .OperatorAddress = {},
                  .State = VmState::Suspect};
    if (m_Table.merge(Seed) == VmTable::Change::Notable)
      m_Monitors[Vm.Name].SuspectedAt = Now;
  }
}

void Membership::leave() {
  ++m_Self.Counter;
  m_Self.State = VmState::Leaving;
}

} // namespace carawaypond

#include "coordination/node/ControlNode.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

ServerDrainsOptions withSelf(ServerDrainsOptions Options,
                             const VmRecord &Self) {
  Options.Self = Self.Name;
  Options.IncarnationNumber = Self.IncarnationNumber;
  return Options;
}

} // namespace

ControlNode::ControlNode(ControlNodeOptions Options)
    : m_Options(std::move(Options)), m_Members(m_Options.Members),
      m_StoreReads(m_Options.Feed), m_Recency(m_Options.Recency),
      m_Drains(withSelf(m_Options.Drains, m_Options.Members.Self)),
      m_Stop(m_Options.Stop) {}

bool ControlNode::mayServe(TimePoint Now) const {
  return m_Stop.takesQueries() && m_Recency.mayServe(Now);
}

bool ControlNode::maySubmit(TimePoint Now) const {
  return m_Stop.takesQueries() &&
         m_Recency.maySubmit(m_Members.majorityAsOf(Now), m_Members.isAlone(),
                             Now);
}

bool ControlNode::isWatcher() const {
  std::vector<VmRecord> Vms = m_Members.others();
  Vms.push_back(m_Members.self());
  return chooseWatchers(m_Options.Watchers, Vms)
      .contains(m_Members.self().Name);
}

ControlTick ControlNode::tick(std::size_t InFlight, TimePoint Now) {
  ControlTick Wanted;
  Wanted.Exchanges = m_Members.tick(Now);
  m_Drains.tick(Now);
  updateServingLease(Now);
  Wanted.ServiceReads = m_StoreReads.tick(
      isWatcher(), m_Members.liveVms().size(), m_Recency.storeAsOf(), Now);
  Wanted.Stop = m_Stop.tick(InFlight, Now);
  return Wanted;
}

void ControlNode::updateServingLease(TimePoint Now) {
  m_Recency.tick(m_Members.majorityAsOf(Now), Now);
  m_Members.setInformed(m_Recency.isInformed());
  m_Gate.onHeard(m_Members.directAsOf(Now));
  if (m_Recency.mayServe(Now))
    m_Stop.onReady();
}

Digest ControlNode::makeDigest(bool Full, TimePoint Now) {
  Digest Out;
  m_Members.fill(Out, Full, Now);
  m_Configs.fill(Out, Full);
  m_Drains.fill(Out, Full, Now);
  m_Recency.fill(Out, Now);
  return Out;
}

void ControlNode::onDigest(const Digest &Heard, TimePoint Now) {
  m_Drains.take(Heard.Drains, Now);
}

std::optional<ConfigFetch>
ControlNode::fetchFrom(const Digest &Heard,
                       std::optional<TimePoint> SentAt) const {
  if (m_Configs.lacking(Heard).empty() && !m_Configs.needsWholeList(Heard))
    return std::nullopt;
  return ConfigFetch{
      .Heard = Heard, .SentAt = SentAt, .Held = m_Configs.versions()};
}

std::optional<ConfigFetch> ControlNode::onRequest(const Digest &Heard,
                                                  TimePoint Now) {
  m_Members.onRequest(Heard, Now);
  onDigest(Heard, Now);
  return fetchFrom(Heard, std::nullopt);
}

std::optional<ConfigFetch>
ControlNode::onReply(const Digest &Heard, TimePoint SentAt, TimePoint Now) {
  bool Covers = m_Configs.covers(Heard);
  m_Members.onReply(Heard, Covers, SentAt, Now);
  m_Recency.onReply(Heard, Covers, SentAt, Now);
  onDigest(Heard, Now);
  updateServingLease(Now);
  return Covers ? std::nullopt : fetchFrom(Heard, SentAt);
}

void ControlNode::onFetched(const ConfigFetch &Asked,
                            Incarnation IncarnationNumber,
                            std::vector<StoredService> Newer, TimePoint Now) {
  bool IsAll = Newer.size() < MaxFetched &&
               IncarnationNumber == Asked.Heard.Sender.IncarnationNumber;
  for (StoredService &Each : Newer)
    IsAll = m_Configs.take(std::move(Each)) != TakeResult::Full && IsAll;
  if (!Asked.SentAt || !(IsAll || m_Configs.covers(Asked.Heard)))
    return;
  m_Members.onReply(Asked.Heard, true, *Asked.SentAt, Now);
  m_Recency.onReply(Asked.Heard, true, *Asked.SentAt, Now);
  updateServingLease(Now);
}

void ControlNode::onServiceList(std::uint64_t Revision,
                                std::vector<StoredService> Services,
                                TimePoint SentAt, TimePoint Now) {
  m_StoreReads.onList(Revision, Now);
  bool IsAll = true;
  for (StoredService &Each : Services)
    IsAll = m_Configs.take(std::move(Each)) != TakeResult::Full && IsAll;
  if (IsAll)
    m_Recency.onStoreList(SentAt, Now);
  updateServingLease(Now);
}

void ControlNode::onServiceListFailed(TimePoint Now) {
  m_StoreReads.onList(std::nullopt, Now);
}

void ControlNode::onServiceWatch(std::uint64_t Revision,
                                 std::vector<StoredService> Services,
                                 TimePoint Now) {
  m_StoreReads.onWatch(Revision, Now);
  for (StoredService &Each : Services)
    m_Configs.take(std::move(Each));
}

void ControlNode::onServiceWatchFailed(TimePoint Now) {
  m_StoreReads.onWatch(std::nullopt, Now);
}

void ControlNode::onVmList(const std::vector<ListedVm> &Listed, TimePoint Now) {
  m_Members.onVmList(Listed, Now);
}

void ControlNode::onServerDrainStatus(const ServerName &Server, bool Leaving,
                                      TimePoint Now) {
  m_Drains.observe(Server, Leaving, Now);
}

void ControlNode::beginStop(TimePoint Now) {
  for (VmDrainAction Action : m_Stop.begin(Now))
    if (Action == VmDrainAction::Announce)
      m_Members.leave();
}

} // namespace carawaypond

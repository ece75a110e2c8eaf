#include "gateway/control/FleetState.h"

#include "adapter/ConfigCodec.h"

#include <algorithm>
#include <cmath>

namespace carawaypond::gateway {

namespace {

/// Relative change of this VM's share that is published to the traffic thread.
constexpr double ShareStep = 0.15;

Milliseconds ageOf(TimePoint From, TimePoint Now) {
  return std::chrono::duration_cast<Milliseconds>(Now - From);
}

const char *eventOf(ReplicaTransition::Kind Of) {
  using Kind = ReplicaTransition::Kind;
  switch (Of) {
  case Kind::Added:
  case Kind::Updated:
    return "replica_changed";
  case Kind::Missing:
    return "replica_missing";
  case Kind::Presumed:
    return "replica_presumed";
  case Kind::Revived:
    return "replica_revived";
  case Kind::Refused:
    return "replica_refused";
  case Kind::Removed:
  case Kind::GaveUp:
    break;
  }
  return "replica_gone";
}

} // namespace

FleetState::FleetState(VmName Self, ReplicaRegistryOptions BookOptions,
                       EventLog &Log, OwnLoad Load, Publish OnChange,
                       VmTrackerOptions VmOptions)
    : m_Log(Log), m_OnChange(std::move(OnChange)), m_Book(BookOptions),
      m_Vms(std::move(Self), VmOptions), m_OwnLoad(std::move(Load)) {}

std::uint64_t FleetState::configVersion() const {
  return m_Table ? m_Table->version().value() : 0;
}

bool FleetState::applyConfig(const nlohmann::json &Document,
                             std::string_view Source) {
  auto Read = adapter::decodeConfig(Document);
  if (Source == StoreSource)
    m_IsStoreConfigUnreadable = !Read;
  if (!Read) {
    LogLine Line("config_unreadable");
    Line.add("source", Source);
    Line.add("why", Read.error().Message);
    m_Log.write(Line);
    return false;
  }
  if (Source == StoreSource)
    m_StoreConfigVersion = Read.value().version().value();
  if (!m_Table || Read.value().version() > m_Table->version())
    useConfig(std::move(Read.value()), Document, Source);
  return true;
}

void FleetState::useConfig(RoutingTable Table, const nlohmann::json &Document,
                           std::string_view Source) {
  m_Table = std::make_shared<const RoutingTable>(std::move(Table));
  m_ConfigDocument = Document;
  m_NewestConfigVersion = std::max(m_NewestConfigVersion, configVersion());
  m_HasUnpublished = true;
  LogLine Line("config_applied");
  Line.add("version", configVersion());
  Line.add("routes", static_cast<std::uint64_t>(m_Table->routes().size()));
  Line.add("workspaces", static_cast<std::uint64_t>(
                             m_Table->workspaces().workspaces().size()));
  Line.add("source", Source);
  m_Log.write(Line);
  logIgnoredKeys();
}

void FleetState::logIgnoredKeys() {
  for (const IgnoredKey &Each : m_Table->workspaces().ignoredKeys()) {
    LogLine Line("key_ignored");
    Line.add("workspace", Each.Owner.value());
    Line.add("why", Each.Why);
    m_Log.write(Line);
  }
}

void FleetState::mergeReplicas(const ReplicaList &List,
                               std::string_view Source) {
  LogLine Line("replicas_listed");
  Line.add("count", static_cast<std::uint64_t>(List.Replicas.size()));
  Line.add("revision", List.AsOf.number());
  Line.add("known_revision", m_Book.asOf().number());
  Line.add("source", Source);
  m_Log.write(Line);
  m_Book.merge(List, monotonicNow());
  onReplicasChanged(Source);
  m_HasUnpublished = m_HasUnpublished || !m_HasReplicas;
  m_HasReplicas = true;
}

bool FleetState::mergeReplicas(const ReplicaDelta &Delta,
                               std::string_view Source) {
  LogLine Line("replicas_changed");
  Line.add("put", static_cast<std::uint64_t>(Delta.Put.size()));
  Line.add("gone", static_cast<std::uint64_t>(Delta.Removed.size()));
  Line.add("revision", Delta.AsOf.number());
  Line.add("source", Source);
  if (m_Book.merge(Delta, monotonicNow()))
    m_Log.write(Line);
  onReplicasChanged(Source);
  return m_Book.asOf() >= Delta.AsOf;
}

void FleetState::putReplica(ReplicaRecord Record, StoreRevision Revision) {
  m_Book.put(std::move(Record), Revision);
  onReplicasChanged(StoreSource);
}

void FleetState::removeReplica(const RemovedReplica &Removed) {
  m_Book.remove(Removed, monotonicNow());
  onReplicasChanged(StoreSource);
}

void FleetState::advanceReplicas(StoreRevision Revision) {
  m_Book.advance(Revision, monotonicNow());
}

void FleetState::mergeEvacuations(const EvacuationList &List,
                                  std::string_view Source) {
  m_Evacuations.merge(List);
  if (m_EvacuationSequence == 0) {
    m_EvacuationSequence = 1;
    m_HasUnpublished = true;
  }
  onEvacuationsChanged(Source);
}

void FleetState::putEvacuation(const EvacuatedCentre &Stored) {
  m_Evacuations.put(Stored);
  onEvacuationsChanged(StoreSource);
}

void FleetState::removeEvacuation(const EvacuatedCentre &Removed) {
  m_Evacuations.remove(Removed);
  onEvacuationsChanged(StoreSource);
}

void FleetState::advanceEvacuations(StoreRevision Revision) {
  m_Evacuations.advance(Revision);
}

void FleetState::onEvacuationsChanged(std::string_view Source) {
  for (const EvacuationChange &Each : m_Evacuations.takeChanges()) {
    ++m_EvacuationSequence;
    m_HasUnpublished = true;
    LogLine Line(Each.IsEvacuated ? "evacuation_begun" : "evacuation_ended");
    Line.add("centre", Each.Centre.value());
    Line.add("revision", Each.Revision.number());
    Line.add("source", Source);
    Line.add("unconfirmed_ms", evacuationAge().count());
    m_Log.write(Line);
  }
}

void FleetState::onUnnamed(std::string_view Kind, std::size_t Count) {
  if (Count == 0)
    return;
  onUnreadable(Count);
  LogLine Line("store_objects_unnamed");
  Line.add("kind", Kind);
  Line.add("count", static_cast<std::uint64_t>(Count));
  m_Log.write(Line);
}

void FleetState::onReplicasChanged(std::string_view Source) {
  bool IsFirstList = !m_HasReplicas;
  for (const ReplicaTransition &Each : m_Book.takeTransitions()) {
    m_HasUnpublished = true;
    if (!IsFirstList)
      log(Each, Source);
  }
}

void FleetState::log(const ReplicaTransition &Change, std::string_view Source) {
  using Kind = ReplicaTransition::Kind;
  switch (Change.What) {
  case Kind::Added:
  case Kind::Updated:
    return logStored(Change, Source);
  case Kind::Missing:
  case Kind::Presumed:
  case Kind::Revived:
  case Kind::Refused:
  case Kind::Removed:
  case Kind::GaveUp:
    break;
  }
  LogLine Line(eventOf(Change.What));
  Line.add("replica", Change.Id.value());
  Line.add("revision", Change.Revision.number());
  Line.add("known_revision", m_Book.asOf().number());
  Line.add("source", Source);
  Line.add("unconfirmed_ms", replicaAge().count());
  if (Change.What == Kind::Removed || Change.What == Kind::GaveUp)
    Line.add("was_presumed", Change.What == Kind::GaveUp);
  TimePoint Now = monotonicNow();
  if (auto Until = m_Book.presumedUntil(Now))
    Line.add("presumed_ms", ageOf(Now, *Until).count());
  m_Log.write(Line);
}

void FleetState::logStored(const ReplicaTransition &Change,
                           std::string_view Source) {
  auto Found = m_Book.entries().find(Change.Id);
  if (Found == m_Book.entries().end())
    return;
  const ReplicaRecord &Record = Found->second.Record;
  LogLine Line("replica_changed");
  Line.add("replica", Record.Id.value());
  Line.add("service", Record.Service.value());
  Line.add("leaving", Record.State == ReplicaState::Leaving);
  Line.add("warmup_ms", Record.WarmupLeft.count());
  Line.add("revision", Change.Revision.number());
  Line.add("source", Source);
  m_Log.write(Line);
}

void FleetState::logLeaving(std::uint64_t Sequence) {
  auto Changes = m_ReplicaChanges.since(Sequence);
  if (!Changes)
    return;
  for (const ReplicaChanges::Change &Each : *Changes) {
    if (!Each.Replica || Each.Replica->Record.State != ReplicaState::Leaving)
      continue;
    LogLine Line("replica_leaving");
    Line.add("replica", Each.Id.value());
    Line.add("revision", Each.Replica->Revision.number());
    Line.add("unconfirmed_ms", replicaAge().count());
    m_Log.write(Line);
  }
}

std::optional<ContactAge> FleetState::storeContact() const {
  auto Latest = m_Book.contact().latest();
  if (!Latest)
    return std::nullopt;
  return ContactAge::of(*Latest, monotonicNow());
}

Milliseconds FleetState::replicaAge() const {
  return ageOf(std::max(m_StartedAt, m_Book.confirmedAt()), monotonicNow());
}

Milliseconds FleetState::configAge() const {
  return ageOf(m_ConfigConfirmedAt, monotonicNow());
}

Milliseconds FleetState::evacuationAge() const {
  return ageOf(m_EvacuationsConfirmedAt, monotonicNow());
}

Milliseconds FleetState::age() const {
  Milliseconds Age = std::max(replicaAge(), configAge());
  return m_FollowsEvacuations ? std::max(Age, evacuationAge()) : Age;
}

void FleetState::confirmEvacuations(TimePoint At) {
  m_EvacuationsConfirmedAt = std::max(m_EvacuationsConfirmedAt, At);
}

void FleetState::confirmReplicas(TimePoint At) { m_Book.confirm(At); }

void FleetState::confirmConfig(TimePoint At) {
  m_ConfigConfirmedAt = std::max(m_ConfigConfirmedAt, At);
}

std::optional<Milliseconds> FleetState::configProofAge() const {
  return m_ConfigProof.age(bootNow());
}

bool FleetState::mayLackConfig() const {
  return m_IsStoreConfigUnreadable ||
         m_StoreConfigVersion < m_NewestConfigVersion ||
         m_Book.isRestoring(monotonicNow());
}

void FleetState::proveConfig(BootTime AsOf, std::string_view Source) {
  bool IsOlder = Source == StoreSource && mayLackConfig();
  if (!m_OnProof || !m_Table || IsOlder)
    return;
  m_ConfigProof.prove(AsOf);
  m_OnProof(*m_ConfigProof.asOf());
}

void FleetState::onContactChanged() {
  auto Latest = m_Book.contact().latest();
  if (!Latest || Latest->Era <= m_Era)
    return;
  m_Era = Latest->Era;
  if (!Latest->FollowsRestore)
    return;
  LogLine Line("store_restored");
  Line.add("era", m_Era.value());
  Line.add("known_revision", m_Book.asOf().number());
  Line.add("known_era", m_Book.asOf().era().value());
  Line.add("config", configVersion());
  m_Log.write(Line);
}

void FleetState::onStoreAnswered(TimePoint At, StoreEra Era) {
  m_Book.onStoreContact({.Since = At, .Until = At, .Era = Era}, monotonicNow());
  onContactChanged();
  onReplicasChanged(StoreSource);
  publish();
}

void FleetState::onStoreContact(const ContactAge &Age) {
  TimePoint Now = monotonicNow();
  m_Book.onStoreContact(Age.spanAt(Now), Now);
  onContactChanged();
  onReplicasChanged(PeerSource);
  publish();
}

bool FleetState::onHeartbeat(const LoadedVm &Vm) {
  return m_Vms.onHeartbeat(Vm, monotonicNow());
}

void FleetState::onVmRecord(const VmRecord &Record, StoreRevision Revision) {
  m_Vms.onRecord(Record, Revision, monotonicNow());
}

void FleetState::onRelayedVm(const LoadedVm &Vm) {
  m_Vms.onHeartbeat(Vm, monotonicNow());
}

void FleetState::tick() {
  TimePoint Now = monotonicNow();
  m_Book.expire(Now);
  onReplicasChanged(StoreSource);
  if (!m_Book.isRestoring(Now)) {
    m_Evacuations.settle();
    onEvacuationsChanged(StoreSource);
  }
  m_Vms.expire(Now);
  double Share = m_Vms.share(m_OwnLoad(), Now);
  VmTurn Turn = m_Vms.turn(Now);
  bool HasMoved = std::abs(Share - m_Share) > ShareStep * m_Share;
  if (HasMoved || Turn != m_Turn) {
    m_Share = Share;
    m_Turn = Turn;
    m_HasUnpublished = true;
  }
  publish();
}

void FleetState::publish() {
  if (!m_HasUnpublished)
    return;
  m_HasUnpublished = false;
  ++m_Changes;
  std::uint64_t Before = m_ReplicaChanges.sequence();
  m_ReplicaChanges.follow(m_Book);
  logLeaving(Before);
  m_Signal.notify();
  auto View = std::make_shared<TrafficView>();
  View->Table = m_Table;
  for (const auto &[Id, Known] : m_Book.entries())
    View->Replicas.push_back(Known.Record);
  View->Share = m_Share;
  View->Turn = m_Turn;
  View->Evacuated = m_Evacuations.evacuated();
  View->HasReplicas = m_HasReplicas && !lacksEvacuations();
  m_OnChange(std::move(View));
}

} // namespace carawaypond::gateway

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

} // namespace

FleetState::FleetState(VmName Self, ReplicaRegistryOptions BookOptions,
                       EventLog &Log, OwnLoad Load, Publish OnChange)
    : m_Log(Log), m_OnChange(std::move(OnChange)), m_Book(BookOptions),
      m_Vms(std::move(Self), VmTrackerOptions{}), m_OwnLoad(std::move(Load)) {}

std::uint64_t FleetState::configVersion() const {
  return m_Table ? m_Table->version().value() : 0;
}

void FleetState::applyConfig(const nlohmann::json &Document,
                             std::string_view Source) {
  auto Read = adapter::decodeConfig(Document);
  if (!Read) {
    LogLine Line("config_unreadable");
    Line.add("source", Source);
    Line.add("why", Read.error().Message);
    m_Log.write(Line);
    return;
  }
  if (m_Table && Read.value().version() <= m_Table->version())
    return;
  m_Table = std::make_shared<const RoutingTable>(std::move(Read.value()));
  m_ConfigDocument = Document;
  m_HasUnpublished = true;
  LogLine Line("config_applied");
  Line.add("version", configVersion());
  Line.add("routes", static_cast<std::uint64_t>(m_Table->routes().size()));
  Line.add("source", Source);
  m_Log.write(Line);
}

void FleetState::replaceReplicas(std::vector<ReplicaRecord> Listed,
                                 std::uint64_t Revision,
                                 std::string_view Source) {
  LogLine Line("replicas_listed");
  Line.add("count", static_cast<std::uint64_t>(Listed.size()));
  Line.add("revision", Revision);
  Line.add("source", Source);
  m_Log.write(Line);
  bool IsFromStore = Source == StoreSource;
  std::map<ServerName, TimePoint> Before = m_Book.missing();
  bool Changed = IsFromStore
                     ? m_Book.replaceAll(std::move(Listed), monotonicNow())
                     : m_Book.adoptAll(std::move(Listed));
  logMissing(Before);
  m_ReplicaRevision = Revision;
  m_HasUnpublished = m_HasUnpublished || Changed || !m_HasReplicas;
  m_HasReplicas = true;
}

void FleetState::putReplica(ReplicaRecord Record) {
  LogLine Line("replica_changed");
  Line.add("replica", Record.Id.value());
  Line.add("service", Record.Service.value());
  Line.add("leaving", Record.State == ReplicaState::Leaving);
  Line.add("warmup_ms", Record.WarmupLeft.count());
  if (!m_Book.put(std::move(Record)))
    return;
  m_Log.write(Line);
  m_HasUnpublished = true;
}

void FleetState::removeReplica(const ServerName &Id) {
  if (!m_Book.entries().contains(Id))
    return;
  std::map<ServerName, TimePoint> Before = m_Book.missing();
  bool Changed = m_Book.remove(Id, monotonicNow());
  logMissing(Before);
  m_HasUnpublished = m_HasUnpublished || Changed;
}

void FleetState::applyChanges(std::vector<ReplicaRecord> Put,
                              const std::vector<ServerName> &Gone,
                              std::uint64_t Revision) {
  LogLine Line("replicas_changed");
  Line.add("put", static_cast<std::uint64_t>(Put.size()));
  Line.add("gone", static_cast<std::uint64_t>(Gone.size()));
  Line.add("revision", Revision);
  bool Changed = m_Book.adopt(std::move(Put), Gone);
  if (Changed)
    m_Log.write(Line);
  m_HasUnpublished = m_HasUnpublished || Changed;
  m_ReplicaRevision = std::max(m_ReplicaRevision, Revision);
  publish();
}

void FleetState::logMissing(const std::map<ServerName, TimePoint> &Before) {
  for (const auto &[Id, Until] : m_Book.missing()) {
    if (Before.contains(Id))
      continue;
    LogLine Line("replica_missing");
    Line.add("replica", Id.value());
    Line.add("believed_ms", ageOf(monotonicNow(), Until).count());
    m_Log.write(Line);
  }
}

void FleetState::logWithdrawn(std::uint64_t Sequence) {
  auto Changes = m_ReplicaChanges.since(Sequence);
  if (!Changes)
    return;
  for (const ReplicaChanges::Change &Each : *Changes) {
    bool IsLeaving = Each.Record && Each.Record->State == ReplicaState::Leaving;
    if (Each.Record && !IsLeaving)
      continue;
    LogLine Line(IsLeaving ? "replica_leaving" : "replica_gone");
    Line.add("replica", Each.Id.value());
    Line.add("unconfirmed_ms", replicaAge().count());
    m_Log.write(Line);
  }
}

Milliseconds FleetState::replicaAge() const {
  return ageOf(m_ReplicasConfirmedAt, monotonicNow());
}

Milliseconds FleetState::configAge() const {
  return ageOf(m_ConfigConfirmedAt, monotonicNow());
}

void FleetState::confirmReplicas(TimePoint At) {
  m_ReplicasConfirmedAt = std::max(m_ReplicasConfirmedAt, At);
}

void FleetState::confirmConfig(TimePoint At) {
  m_ConfigConfirmedAt = std::max(m_ConfigConfirmedAt, At);
}

void FleetState::onStoreAnswered(TimePoint At) { m_Book.onStoreAnswered(At); }

bool FleetState::onHeartbeat(const LoadedVm &Vm) {
  return m_Vms.onHeartbeat(Vm, monotonicNow());
}

void FleetState::onVmRecord(const VmRecord &Record) {
  m_Vms.onRecord(Record, monotonicNow());
}

void FleetState::onRelayedVm(const LoadedVm &Vm) {
  m_Vms.onHeartbeat(Vm, monotonicNow());
}

void FleetState::tick() {
  TimePoint Now = monotonicNow();
  m_HasUnpublished = m_Book.expire(Now) || m_HasUnpublished;
  m_Vms.expire(Now);
  double Share = m_Vms.share(m_OwnLoad(), Now);
  if (std::abs(Share - m_Share) > ShareStep * m_Share) {
    m_Share = Share;
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
  m_ReplicaChanges.follow(m_Book.entries());
  logWithdrawn(Before);
  m_Signal.notify();
  auto View = std::make_shared<TrafficView>();
  View->Table = m_Table;
  for (const auto &[Id, Record] : m_Book.entries())
    View->Replicas.push_back(Record);
  View->Share = m_Share;
  View->HasReplicas = m_HasReplicas;
  m_OnChange(std::move(View));
}

} // namespace carawaypond::gateway

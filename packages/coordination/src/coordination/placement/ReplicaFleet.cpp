#include "coordination/placement/ReplicaFleet.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace carawaypond {

namespace {

/// The initial estimate of a route's median latency is its objective divided by
/// this.
constexpr int ObjectivePerMedian = 8;
/// How long what a removed replica has said is kept.
constexpr Milliseconds RemovedRetention{60'000};

} // namespace

ServiceFleet &ReplicaFleet::service(const ServiceName &Name) {
  return m_Services.try_emplace(Name, m_Options).first->second;
}

RouteLatency &ReplicaFleet::latency(const RequestRoute &Of) {
  return m_Latencies
      .try_emplace(Of.Name, Duration(Of.Objective) / ObjectivePerMedian)
      .first->second;
}

std::vector<ServerName>
ReplicaFleet::replace(const std::vector<ReplicaRecord> &Known, TimePoint Now) {
  std::unordered_set<ServerName> Present;
  for (const ReplicaRecord &Each : Known) {
    Present.insert(Each.Id);
    auto Before = m_ServiceOf.find(Each.Id);
    if (Before != m_ServiceOf.end() && Before->second != Each.Service)
      service(Before->second).erase(Each.Id);
    put(Each, Now);
  }
  std::vector<ServerName> Gone;
  for (const auto &[Id, Service] : m_ServiceOf)
    if (!Present.contains(Id))
      Gone.push_back(Id);
  for (const ServerName &Id : Gone)
    remove(Id, Now);
  std::erase_if(m_Removed, [Now](const auto &Each) {
    return Now - Each.second.RemovedAt > RemovedRetention;
  });
  return Gone;
}

void ReplicaFleet::limitWarmup(ReplicaTracker &Gauge, TimePoint Now) {
  if (!m_Table)
    return;
  Gauge.limitWarmup(m_Table->limits(Gauge.record().Service),
                    limitShare(m_Options.WarmupRateRatio), Now);
}

void ReplicaFleet::setShare(double Share, VmTurn Turn, TimePoint Now) {
  if (Share == m_Share && Turn == m_Turn)
    return;
  m_Share = Share;
  m_Turn = Turn;
  for (const auto &[Id, Name] : m_ServiceOf)
    service(Name).find(Id)->setShare(limitShare(), Now);
}

LimitShare ReplicaFleet::limitShare(double Ratio) const {
  return {.Part = m_Share * Ratio,
          .Phase = m_Options.LimitPhase,
          .Turn = m_Turn,
          .Epoch = m_Options.Epoch};
}

void ReplicaFleet::setEvacuated(std::set<DataCentre> Centres, TimePoint Now) {
  m_Evacuated = std::move(Centres);
  for (const auto &[Id, Name] : m_ServiceOf) {
    ReplicaTracker &Gauge = *service(Name).find(Id);
    Gauge.setEvacuated(m_Evacuated.contains(Gauge.record().Centre), Now);
  }
}

void ReplicaFleet::put(const ReplicaRecord &Record, TimePoint Now) {
  ServiceFleet &Into = service(Record.Service);
  bool IsNew = Into.find(Record.Id) == nullptr;
  m_ServiceOf[Record.Id] = Record.Service;
  Into.put(Record, Now);
  ReplicaTracker &Gauge = *Into.find(Record.Id);
  Gauge.setEvacuated(m_Evacuated.contains(Record.Centre), Now);
  limitWarmup(Gauge, Now);
  auto Before = m_Removed.find(Record.Id);
  if (!IsNew || Before == m_Removed.end())
    return;
  if (Before->second.StartedAt == Record.StartedAt) {
    Gauge.restore(Before->second.Said);
    Gauge.setShare(limitShare(), Now);
  }
  m_Removed.erase(Before);
}

void ReplicaFleet::remove(const ServerName &Id, TimePoint Now) {
  ServiceFleet &From = service(m_ServiceOf[Id]);
  const ReplicaTracker &Gauge = *From.find(Id);
  m_Removed[Id] = {.StartedAt = Gauge.record().StartedAt,
                   .Said = Gauge.notices(),
                   .RemovedAt = Now};
  From.erase(Id);
  m_ServiceOf.erase(Id);
}

std::vector<SlowAnswer> ReplicaFleet::slowAnswers(Duration Within,
                                                  TimePoint Now) const {
  std::vector<SlowAnswer> Slow;
  for (const auto &[Name, Service] : m_Services)
    for (const auto &[Id, Gauge] : Service.replicas()) {
      auto At = Gauge.lastSlowAnswer();
      if (!At || Now - *At > Within)
        continue;
      Slow.push_back(
          {.Replica = Id,
           .Age = std::chrono::duration_cast<Milliseconds>(Now - *At)});
    }
  std::sort(Slow.begin(), Slow.end(),
            [](const auto &A, const auto &B) { return A.Age < B.Age; });
  Slow.resize(std::min(Slow.size(), MaxSlowAnswers));
  return Slow;
}

std::size_t ReplicaFleet::reportedSlow(TimePoint Now) const {
  if (!m_Options.Reports)
    return 0;
  std::size_t Count = 0;
  for (const auto &[Name, Service] : m_Services)
    for (const auto &[Id, Gauge] : Service.replicas())
      if (Gauge.slowReports().areConclusive(*m_Options.Reports, Now))
        ++Count;
  return Count;
}

void ReplicaFleet::onSlowAnswers(const VmName &From,
                                 const std::vector<SlowAnswer> &Told,
                                 TimePoint Now) {
  for (const SlowAnswer &Each : Told) {
    auto Known = m_ServiceOf.find(Each.Replica);
    if (Known == m_ServiceOf.end())
      continue;
    service(Known->second)
        .find(Each.Replica)
        ->onSlowAnswer(From, Now - Each.Age, m_Options, Now);
  }
}

bool ReplicaFleet::onNotice(const ServerName &Replica,
                            const ReplicaNotice &Told, TimePoint Now) {
  auto Known = m_ServiceOf.find(Replica);
  if (Known == m_ServiceOf.end())
    return false;
  return service(Known->second)
      .find(Replica)
      ->onNotice(Told, limitShare(), Now);
}

} // namespace carawaypond

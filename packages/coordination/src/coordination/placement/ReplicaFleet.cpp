#include "coordination/placement/ReplicaFleet.h"

#include <unordered_set>

namespace carawaypond {

namespace {

/// The initial estimate of a route's median latency is its objective divided by
/// this.
constexpr int ObjectivePerMedian = 8;

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
    m_ServiceOf[Each.Id] = Each.Service;
    service(Each.Service).put(Each, Now);
  }
  std::vector<ServerName> Gone;
  for (const auto &[Id, Service] : m_ServiceOf)
    if (!Present.contains(Id))
      Gone.push_back(Id);
  for (const ServerName &Id : Gone) {
    service(m_ServiceOf[Id]).erase(Id);
    m_ServiceOf.erase(Id);
  }
  return Gone;
}

} // namespace carawaypond

#include "gateway/metrics/ReplicaCounts.h"

#include "core/metrics/PrometheusText.h"

#include <set>

namespace carawaypond::gateway {

ReplicaCounts::Counts ReplicaCounts::copy() const {
  std::lock_guard Locked(m_Mutex);
  return m_Attempts;
}

std::string ReplicaCounts::prometheusText() const {
  std::string Text;
  for (const auto &[Of, Count] : copy()) {
    Text.append("carawaypond_replica_attempts_total{");
    Text.append(prometheusLabel("service", Of.first.value())).append(",");
    Text.append(prometheusLabel("replica", Of.second.value())).append("} ");
    Text.append(std::to_string(Count)).append("\n");
  }
  return Text;
}

void ReplicaCounts::add(const ServiceName &Service, const ServerName &Replica) {
  std::lock_guard Locked(m_Mutex);
  auto Found = m_Attempts.find({Service, Replica});
  if (Found == m_Attempts.end() && m_Attempts.size() >= MaxReplicas)
    return;
  ++m_Attempts[{Service, Replica}];
}

void ReplicaCounts::retain(const std::vector<ReplicaRecord> &Known) {
  std::set<ServerName> Present;
  for (const ReplicaRecord &Each : Known)
    Present.insert(Each.Id);
  std::lock_guard Locked(m_Mutex);
  std::erase_if(m_Attempts, [&](const auto &Each) {
    return !Present.contains(Each.first.second);
  });
}

} // namespace carawaypond::gateway

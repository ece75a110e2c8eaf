#include "coordination/replicas/ReplicaRegistry.h"

#include <algorithm>
#include <set>

namespace carawaypond {

std::optional<TimePoint> ReplicaRegistry::nextExpiry() const {
  std::optional<TimePoint> Next;
  for (const auto &[Id, Until] : m_Missing)
    if (!Next || Until < *Next)
      Next = Until;
  return Next;
}

bool ReplicaRegistry::isStoreOut(TimePoint Now) const {
  return !m_AnsweredAt || Now - *m_AnsweredAt > m_Options.MinOutage;
}

bool ReplicaRegistry::isRecovering(TimePoint Now) const {
  return isStoreOut(Now) || Now < m_RecoveryUntil;
}

bool ReplicaRegistry::put(ReplicaRecord Record) {
  m_Missing.erase(Record.Id);
  auto [Found, IsNew] = m_Entries.try_emplace(Record.Id, Record);
  if (IsNew)
    return true;
  ReplicaRecord &Known = Found->second;
  if (Record.StartedAt < Known.StartedAt)
    return false;
  // WarmupLeft decreases on its own, so a higher value is out of date.
  if (Record.StartedAt == Known.StartedAt)
    Record.WarmupLeft = std::min(Record.WarmupLeft, Known.WarmupLeft);
  ReplicaRecord Unchanged = Known;
  Unchanged.WarmupLeft = Record.WarmupLeft;
  if (Unchanged == Record)
    return false;
  Found->second = std::move(Record);
  return true;
}

bool ReplicaRegistry::remove(const ServerName &Id, TimePoint Now) {
  if (!m_Entries.contains(Id))
    return false;
  if (!isRecovering(Now))
    return m_Missing.erase(Id), m_Entries.erase(Id) > 0;
  TimePoint Until = Now + m_Options.RecoveryGrace;
  m_Missing.try_emplace(Id, isStoreOut(Now) ? Until : m_RecoveryUntil);
  return false;
}

std::vector<ServerName>
ReplicaRegistry::missingFrom(const std::vector<ReplicaRecord> &Listed) const {
  std::set<ServerName> Present;
  for (const ReplicaRecord &Each : Listed)
    Present.insert(Each.Id);
  std::vector<ServerName> Absent;
  for (const auto &[Id, Record] : m_Entries)
    if (!Present.contains(Id))
      Absent.push_back(Id);
  return Absent;
}

bool ReplicaRegistry::replaceAll(std::vector<ReplicaRecord> Listed,
                                 TimePoint Now) {
  bool Changed = false;
  for (const ServerName &Id : missingFrom(Listed))
    Changed = remove(Id, Now) || Changed;
  for (ReplicaRecord &Record : Listed)
    Changed = put(std::move(Record)) || Changed;
  return Changed;
}

bool ReplicaRegistry::adopt(std::vector<ReplicaRecord> Put,
                            const std::vector<ServerName> &Gone) {
  bool Changed = false;
  for (ReplicaRecord &Record : Put)
    Changed = put(std::move(Record)) || Changed;
  for (const ServerName &Id : Gone) {
    m_Missing.erase(Id);
    Changed = m_Entries.erase(Id) > 0 || Changed;
  }
  return Changed;
}

bool ReplicaRegistry::adoptAll(std::vector<ReplicaRecord> Used) {
  std::vector<ServerName> Gone = missingFrom(Used);
  return adopt(std::move(Used), Gone);
}

void ReplicaRegistry::onStoreAnswered(TimePoint At) {
  if (m_AnsweredAt && At <= *m_AnsweredAt)
    return;
  if (isStoreOut(At)) {
    m_RecoveryUntil = At + m_Options.RecoveryGrace;
    for (auto &[Id, Until] : m_Missing)
      Until = m_RecoveryUntil;
  }
  m_AnsweredAt = At;
}

bool ReplicaRegistry::expire(TimePoint Now) {
  if (isStoreOut(Now))
    return false;
  auto Before = m_Entries.size();
  for (auto Each = m_Missing.begin(); Each != m_Missing.end();) {
    if (Now < Each->second) {
      ++Each;
      continue;
    }
    m_Entries.erase(Each->first);
    Each = m_Missing.erase(Each);
  }
  return m_Entries.size() != Before;
}

} // namespace carawaypond

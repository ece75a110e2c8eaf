#include "gateway/control/ReplicaChanges.h"

namespace carawaypond::gateway {

std::optional<std::vector<ReplicaChanges::Change>>
ReplicaChanges::since(std::uint64_t Sequence) const {
  std::uint64_t Oldest =
      m_Changelog.empty() ? m_Sequence : m_Changelog.front().Sequence - 1;
  if (Sequence < Oldest || Sequence > m_Sequence)
    return std::nullopt;
  std::vector<Change> Changes;
  for (const Change &Each : m_Changelog)
    if (Each.Sequence > Sequence)
      Changes.push_back(Each);
  return Changes;
}

void ReplicaChanges::follow(const ReplicaRegistry::Entries &Now) {
  std::vector<ServerName> Gone;
  for (const auto &[Id, Record] : m_Known)
    if (!Now.contains(Id))
      Gone.push_back(Id);
  for (const ServerName &Id : Gone) {
    m_Known.erase(Id);
    add(Id, std::nullopt);
  }
  for (const auto &[Id, Record] : Now) {
    auto Found = m_Known.find(Id);
    if (Found != m_Known.end() && Found->second == Record)
      continue;
    m_Known[Id] = Record;
    add(Id, Record);
  }
}

void ReplicaChanges::add(const ServerName &Id,
                         std::optional<ReplicaRecord> Record) {
  m_Changelog.push_back(
      {.Sequence = ++m_Sequence, .Id = Id, .Record = std::move(Record)});
  if (m_Changelog.size() > MaxChanges)
    m_Changelog.pop_front();
}

} // namespace carawaypond::gateway

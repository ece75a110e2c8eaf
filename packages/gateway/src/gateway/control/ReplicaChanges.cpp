#include "gateway/control/ReplicaChanges.h"

#include <algorithm>
#include <set>

namespace carawaypond::gateway {

std::optional<std::vector<ReplicaChanges::Change>>
ReplicaChanges::since(std::uint64_t Sequence) const {
  std::uint64_t Oldest =
      m_Changelog.empty() ? m_Sequence : m_Changelog.front().Sequence - 1;
  if (Sequence < Oldest || Sequence > m_Sequence)
    return std::nullopt;
  std::vector<Change> Changes;
  std::set<ServerName> Included;
  for (auto Each = m_Changelog.rbegin();
       Each != m_Changelog.rend() && Each->Sequence > Sequence; ++Each)
    if (Included.insert(Each->Id).second)
      Changes.push_back(*Each);
  std::reverse(Changes.begin(), Changes.end());
  return Changes;
}

void ReplicaChanges::follow(const ReplicaRegistry &Now) {
  std::vector<ServerName> Gone;
  for (const auto &[Id, Replica] : m_Known)
    if (!Now.entries().contains(Id))
      Gone.push_back(Id);
  for (const ServerName &Id : Gone) {
    m_Known.erase(Id);
    add({.Id = Id, .Replica = {}, .RemovedAsOf = Now.removedAsOf(Id)});
  }
  for (const auto &[Id, Replica] : Now.entries()) {
    auto Found = m_Known.find(Id);
    bool IsKnown = Found != m_Known.end() &&
                   Found->second.Record == Replica.Record &&
                   Found->second.Evidence == Replica.Evidence;
    if (IsKnown)
      continue;
    m_Known[Id] = Replica;
    add({.Id = Id, .Replica = Replica});
  }
}

void ReplicaChanges::add(Change Added) {
  Added.Sequence = ++m_Sequence;
  m_Changelog.push_back(std::move(Added));
  if (m_Changelog.size() > MaxChanges)
    m_Changelog.pop_front();
}

} // namespace carawaypond::gateway

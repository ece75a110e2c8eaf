#include "coordination/workspaces/WorkspaceTable.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace carawaypond {

namespace {

std::uint64_t randomSeed() {
  std::random_device Source;
  return (std::uint64_t{Source()} << 32) | Source();
}

} // namespace

std::size_t internal::KeyHash::operator()(std::string_view Key) const {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), Seed);
}

bool internal::KeyEqual::operator()(std::string_view Left,
                                    std::string_view Right) const {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I] ^ Right[I]);
  return Difference == 0;
}

WorkspaceTable::WorkspaceTable(std::vector<WorkspaceKeys> Entries)
    : m_AreKeysRequired(true),
      m_ByKey(0, internal::KeyHash{.Seed = randomSeed()}) {
  std::size_t Entry = 0;
  for (WorkspaceKeys &Each : Entries)
    add(std::move(Each), Entry++);
  std::erase_if(m_ByKey,
                [](const auto &Each) { return Each.second == Ambiguous; });
}

void WorkspaceTable::add(WorkspaceKeys Configured, std::size_t Entry) {
  std::size_t Index = m_Workspaces.size();
  if (!m_ByName.try_emplace(Configured.Owner.Name, Index).second) {
    m_Ignored.push_back({.Owner = std::move(Configured.Owner.Name),
                         .Entry = Entry,
                         .Why = "another workspace has this name"});
    return;
  }
  m_Workspaces.push_back(std::move(Configured.Owner));
  m_Entries.push_back(Entry);
  for (std::string &Each : Configured.Keys)
    addKey(std::move(Each), Index);
}

void WorkspaceTable::addKey(std::string Key, std::size_t Index) {
  if (Key.empty())
    return ignore(Index, "the key is empty");
  auto [Found, IsNew] = m_ByKey.try_emplace(std::move(Key), Index);
  if (IsNew || Found->second == Index)
    return;
  if (Found->second != Ambiguous)
    ignore(Found->second, "another workspace holds the same key");
  ignore(Index, "another workspace holds the same key");
  Found->second = Ambiguous;
}

void WorkspaceTable::ignore(std::size_t Index, std::string Why) {
  m_Ignored.push_back({.Owner = m_Workspaces[Index].Name,
                       .Entry = m_Entries[Index],
                       .Why = std::move(Why)});
}

WorkspaceTable::KeyCounts
WorkspaceTable::countKeysNotIn(const WorkspaceTable &Other) const {
  KeyCounts Counts;
  for (const auto &[Key, Index] : m_ByKey) {
    const WorkspaceName &Name = m_Workspaces[Index].Name;
    const Workspace *There = Other.findByKey(Key);
    if (There == nullptr || There->Name != Name)
      ++Counts[Name];
  }
  return Counts;
}

bool WorkspaceTable::hasQuotas() const {
  return std::any_of(m_Workspaces.begin(), m_Workspaces.end(),
                     [](const Workspace &Each) { return Each.hasQuota(); });
}

const Workspace *WorkspaceTable::findByKey(std::string_view Key) const {
  auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : &m_Workspaces[Found->second];
}

const Workspace *WorkspaceTable::find(const WorkspaceName &Name) const {
  auto Found = m_ByName.find(Name);
  return Found == m_ByName.end() ? nullptr : &m_Workspaces[Found->second];
}

} // namespace carawaypond

#include "platform/ObjectStore.h"

#include <utility>

namespace carawaypond::standins {

namespace {

bool holds(const WriteCondition &Condition, std::uint64_t CurrentVersion) {
  if (const auto *Needed = std::get_if<MustHaveVersion>(&Condition))
    return CurrentVersion != 0 && CurrentVersion == Needed->Version;
  return CurrentVersion == 0;
}

} // namespace

const StoredObject *ObjectStore::find(const std::string &Kind,
                                      const std::string &Name) const {
  auto Objects = m_Kinds.find(Kind);
  if (Objects == m_Kinds.end())
    return nullptr;
  auto Found = Objects->second.ByName.find(Name);
  return Found == Objects->second.ByName.end() ? nullptr : &Found->second;
}

std::vector<StoredObject>
ObjectStore::changedSince(const std::string &Kind,
                          std::uint64_t Revision) const {
  std::vector<StoredObject> Changed;
  auto Objects = m_Kinds.find(Kind);
  if (Objects == m_Kinds.end())
    return Changed;
  const KindObjects &Of = Objects->second;
  for (auto It = Of.ByRevision.upper_bound(Revision); It != Of.ByRevision.end();
       ++It)
    Changed.push_back(Of.ByName.at(It->second));
  return Changed;
}

bool ObjectStore::canWatchAfter(std::uint64_t Revision) const {
  return Revision >= m_OldestWatch && Revision <= m_Revision;
}

WriteOutcome ObjectStore::write(const std::string &Kind,
                                const std::string &Name,
                                const WriteCondition &Condition,
                                std::string Value) {
  if (Value.size() > MaxValueBytes)
    return ValueTooLarge{};
  const StoredObject *Current = find(Kind, Name);
  std::uint64_t CurrentVersion = Current ? Current->Version : 0;
  if (!holds(Condition, CurrentVersion))
    return ConditionFailed{.CurrentVersion = CurrentVersion};
  KindObjects &Of = m_Kinds[Kind];
  if (Current)
    Of.ByRevision.erase(Current->Revision);
  StoredObject &Object = Of.ByName[Name];
  Object = {.Kind = Kind,
            .Name = Name,
            .Version = CurrentVersion + 1,
            .Revision = ++m_Revision,
            .Value = std::move(Value)};
  Of.ByRevision.emplace(m_Revision, Name);
  return Written{.Object = Object};
}

} // namespace carawaypond::standins

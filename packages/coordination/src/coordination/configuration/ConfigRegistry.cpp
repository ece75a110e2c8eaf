#include "coordination/configuration/ConfigRegistry.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

std::uint64_t fingerprintOf(const StoredService &Stored) {
  const std::string &Name = Stored.Content.Name.value();
  return XXH64(Name.data(), Name.size(), Stored.Version.value());
}

} // namespace

ConfigRegistry::Entry ConfigRegistry::find(const ServiceName &Name) const {
  auto Found = m_Entries.find(Name);
  return Found == m_Entries.end() ? nullptr : Found->second;
}

ConfigVersion ConfigRegistry::versionOf(const ServiceName &Name) const {
  Entry Held = find(Name);
  return Held ? Held->Version : ConfigVersion();
}

std::vector<ConfigRegistry::Entry> ConfigRegistry::services() const {
  std::vector<Entry> Present;
  for (const auto &[Name, Held] : m_Entries)
    if (!Held->Deleted)
      Present.push_back(Held);
  return Present;
}

std::vector<HeldConfigVersion> ConfigRegistry::versions() const {
  std::vector<HeldConfigVersion> All;
  All.reserve(m_Entries.size());
  for (const auto &[Name, Held] : m_Entries)
    All.push_back({.Service = Name, .Version = Held->Version});
  return All;
}

std::vector<ConfigRegistry::Entry>
ConfigRegistry::newerThan(const std::vector<HeldConfigVersion> &Theirs,
                          std::size_t Max) const {
  std::map<ServiceName, ConfigVersion> Known;
  for (const HeldConfigVersion &Held : Theirs)
    Known[Held.Service] = Held.Version;
  std::vector<Entry> Newer;
  for (const auto &[Name, Held] : m_Entries) {
    if (Newer.size() >= Max)
      break;
    auto Found = Known.find(Name);
    if (Found == Known.end() || Found->second < Held->Version)
      Newer.push_back(Held);
  }
  return Newer;
}

std::vector<ServiceName> ConfigRegistry::lacking(const Digest &Heard) const {
  std::vector<ServiceName> Lacking;
  for (const HeldConfigVersion &Theirs : Heard.Configs)
    if (versionOf(Theirs.Service) < Theirs.Version)
      Lacking.push_back(Theirs.Service);
  return Lacking;
}

bool ConfigRegistry::covers(const Digest &Heard) const {
  if (Heard.ConfigCount == m_Entries.size() &&
      Heard.ConfigFingerprint == m_Fingerprint)
    return true;
  bool ListsAll = Heard.Configs.size() == Heard.ConfigCount;
  return ListsAll && lacking(Heard).empty();
}

bool ConfigRegistry::needsWholeList(const Digest &Heard) const {
  return !covers(Heard) && Heard.Configs.size() != Heard.ConfigCount;
}

TakeResult ConfigRegistry::take(StoredService New) {
  ServiceName Name = New.Content.Name;
  Entry Held = find(Name);
  bool IsNewer = !Held || New.Version > Held->Version;
  if (!IsNewer && !internal::isMutant(internal::Mutant::TakeAnyVersion))
    return TakeResult::NotNewer;
  if (!Held && m_Entries.size() >= m_MaxServices)
    return TakeResult::Full;
  if (Held)
    m_Fingerprint -= fingerprintOf(*Held);
  m_Fingerprint += fingerprintOf(New);
  m_Entries[Name] = std::make_shared<const StoredService>(std::move(New));
  std::erase(m_Recent, Name);
  m_Recent.insert(m_Recent.begin(), std::move(Name));
  m_Recent.resize(std::min(m_Recent.size(), MaxRecentInDigest));
  return TakeResult::Newer;
}

void ConfigRegistry::fill(Digest &Out, bool Full) {
  Out.ConfigCount = m_Entries.size();
  Out.ConfigFingerprint = m_Fingerprint;
  if (Full && m_Entries.size() <= MaxListedInDigest) {
    Out.Configs = versions();
    return;
  }
  for (const ServiceName &Name : m_Recent)
    Out.Configs.push_back({.Service = Name, .Version = versionOf(Name)});
  if (Full)
    listRotating(Out);
}

void ConfigRegistry::listRotating(Digest &Out) {
  CARAWAYPOND_INVARIANT(
      m_Entries.size() > MaxListedInDigest,
      "a registry that fits into a digest is listed completely");
  auto Next = m_Entries.upper_bound(m_Cursor);
  while (Out.Configs.size() < MaxListedInDigest) {
    if (Next == m_Entries.end())
      Next = m_Entries.begin();
    m_Cursor = Next->first;
    if (std::find(m_Recent.begin(), m_Recent.end(), m_Cursor) == m_Recent.end())
      Out.Configs.push_back(
          {.Service = m_Cursor, .Version = Next->second->Version});
    ++Next;
  }
}

} // namespace carawaypond

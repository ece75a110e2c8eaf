#include "daemon/control/IndexRegistry.h"

#include <algorithm>
#include <set>

namespace carawaypond::daemon {

namespace {

constexpr std::size_t RecentInDigest = 16;
constexpr std::size_t RotatingInDigest = 32;

} // namespace

IndexRegistry::Entry IndexRegistry::find(const std::string &Name) const {
  auto Found = m_Indexes.find(Name);
  return Found == m_Indexes.end() ? nullptr : Found->second;
}

std::vector<std::string> IndexRegistry::lacking(const Digest &Heard) const {
  std::vector<std::string> Names;
  for (const HeldIndexVersion &Held : Heard.Indexes) {
    Entry Mine = find(Held.Name);
    if (!Mine || Mine->ObjectVersion < Held.ObjectVersion)
      Names.push_back(Held.Name);
  }
  return Names;
}

bool IndexRegistry::take(IndexObject New) {
  Entry &Held = m_Indexes[New.Name];
  if (Held && Held->ObjectVersion >= New.ObjectVersion)
    return false;
  std::erase(m_Recent, New.Name);
  m_Recent.insert(m_Recent.begin(), New.Name);
  if (m_Recent.size() > RecentInDigest)
    m_Recent.resize(RecentInDigest);
  Held = std::make_shared<const IndexObject>(std::move(New));
  return true;
}

void IndexRegistry::fill(Digest &Out) {
  std::set<std::string> Names(m_Recent.begin(), m_Recent.end());
  auto Next = m_Indexes.upper_bound(m_Cursor);
  std::size_t Steps = std::min(RotatingInDigest, m_Indexes.size());
  for (std::size_t I = 0; I < Steps; ++I) {
    if (Next == m_Indexes.end())
      Next = m_Indexes.begin();
    m_Cursor = Next->first;
    Names.insert(m_Cursor);
    ++Next;
  }
  for (const std::string &Name : Names)
    Out.Indexes.push_back(
        {.Name = Name, .ObjectVersion = find(Name)->ObjectVersion});
}

} // namespace carawaypond::daemon

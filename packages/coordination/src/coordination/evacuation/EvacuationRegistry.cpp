#include "coordination/evacuation/EvacuationRegistry.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

std::set<DataCentre> EvacuationRegistry::evacuated() const {
  std::set<DataCentre> Evacuated;
  for (const auto &[Centre, Each] : m_Centres)
    if (Each.isPresent())
      Evacuated.insert(Centre);
  return Evacuated;
}

EvacuationList EvacuationRegistry::list() const {
  EvacuationList List{.AsOf = m_AsOf, .Centres = {}};
  for (const auto &[Centre, Each] : m_Centres)
    if (Each.isPresent())
      List.Centres.push_back({.Centre = Centre, .Revision = Each.Written});
  return List;
}

EvacuationRegistry::Evidence &
EvacuationRegistry::evidence(const DataCentre &Centre) {
  return m_Centres.try_emplace(Centre, Evidence{.AbsentAsOf = m_AsOf})
      .first->second;
}

void EvacuationRegistry::put(const EvacuatedCentre &Stored) {
  putAsOf(Stored, Stored.Revision);
}

void EvacuationRegistry::putAsOf(const EvacuatedCentre &Stored,
                                 StoreRevision AsOf) {
  Evidence &Known = evidence(Stored.Centre);
  m_Held.erase(Stored.Centre);
  bool WasPresent = Known.isPresent();
  Known.Written = std::max(Known.Written, Stored.Revision);
  Known.PresentAsOf = std::max({Known.PresentAsOf, Stored.Revision, AsOf});
  note(Stored.Centre, WasPresent, Known, Stored.Revision);
}

void EvacuationRegistry::remove(const EvacuatedCentre &Removed) {
  Evidence &Known = evidence(Removed.Centre);
  m_Held.erase(Removed.Centre);
  bool WasPresent = Known.isPresent();
  Known.RemovedAt = std::max(Known.RemovedAt, Removed.Revision);
  note(Removed.Centre, WasPresent, Known, Removed.Revision);
}

void EvacuationRegistry::merge(const EvacuationList &List) {
  bool IsNewEra = m_AsOf.era() < List.AsOf.era();
  std::set<DataCentre> Listed;
  for (const EvacuatedCentre &Each : List.Centres) {
    Listed.insert(Each.Centre);
    putAsOf(Each, List.AsOf);
  }
  for (auto &[Centre, Known] : m_Centres) {
    if (Listed.contains(Centre))
      continue;
    if (IsNewEra && Known.isPresent())
      m_Held.insert(Centre);
    if (!m_Held.contains(Centre))
      setAbsent(Centre, Known, List.AsOf);
  }
  advance(List.AsOf);
}

void EvacuationRegistry::setAbsent(const DataCentre &Centre, Evidence &Known,
                                   StoreRevision AsOf) {
  bool WasPresent = Known.isPresent();
  Known.AbsentAsOf = std::max(Known.AbsentAsOf, AsOf);
  note(Centre, WasPresent, Known, AsOf);
}

void EvacuationRegistry::settle() {
  for (const DataCentre &Each : std::exchange(m_Held, {}))
    if (auto Found = m_Centres.find(Each); Found != m_Centres.end())
      setAbsent(Each, Found->second, m_AsOf);
  prune();
}

void EvacuationRegistry::advance(StoreRevision Revision) {
  m_AsOf = std::max(m_AsOf, Revision);
  prune();
}

void EvacuationRegistry::prune() {
  std::erase_if(m_Centres, [this](const auto &Each) {
    const Evidence &Known = Each.second;
    StoreRevision Newest = std::max(Known.PresentAsOf, Known.RemovedAt);
    return !Known.isPresent() && Newest <= m_AsOf;
  });
}

void EvacuationRegistry::note(const DataCentre &Centre, bool WasPresent,
                              const Evidence &Now, StoreRevision Revision) {
  if (Now.isPresent() != WasPresent)
    m_Changes.push_back({.Centre = Centre,
                         .IsEvacuated = Now.isPresent(),
                         .Revision = Revision});
}

std::vector<EvacuationChange> EvacuationRegistry::takeChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace carawaypond

#include "coordination/replicas/ReplicaRegistry.h"

#include "coordination/internal/Mutant.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carawaypond {

namespace {

/// Bounds memory if entries come and go all through an outage.
constexpr std::size_t MaxRemovals = 8'192;
/// Longer than any copy is old from which the store comes back, and the outage
/// before.
constexpr Milliseconds DepartureRetention{60'000};

/// @return Whether @p Stored comes from a copy of the time before the replica
/// began to leave.
bool isOutdatedCopy(const KnownReplica &Known, const KnownReplica &Stored) {
  bool IsFromEarlierEra = Known.Revision.era() < Stored.Revision.era();
  bool IsSameCopy = Known.IsHeldLeaving && Known.Revision == Stored.Revision;
  return (IsFromEarlierEra || IsSameCopy) &&
         Known.Record.StartedAt == Stored.Record.StartedAt &&
         Known.Record.State == ReplicaState::Leaving &&
         Stored.Record.State == ReplicaState::Serving;
}

void holdLeaving(KnownReplica &Stored) {
  Stored.Record.State = ReplicaState::Leaving;
  Stored.IsHeldLeaving = true;
}

} // namespace

StoreRevision ReplicaRegistry::removedAsOf(const ServerName &Id) const {
  auto Found = m_Removals.find(Id);
  return Found == m_Removals.end() ? m_AsOf
                                   : std::max(m_AsOf, Found->second.Revision);
}

std::size_t ReplicaRegistry::presumed() const {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), [](const auto &Each) {
        return Each.second.Evidence == ReplicaEvidence::Presumed;
      }));
}

std::optional<TimePoint> ReplicaRegistry::presumedUntil(TimePoint Now) const {
  if (m_Contact.isOut(Now))
    return std::nullopt;
  return m_Contact.latest()->Since + m_Options.RecoveryGrace;
}

bool ReplicaRegistry::isRecovering(TimePoint Now) const {
  auto Until = presumedUntil(Now);
  return !Until || Now < *Until;
}

bool ReplicaRegistry::isRestoring(TimePoint Now) const {
  auto Latest = m_Contact.latest();
  return Latest && Latest->FollowsRestore && isRecovering(Now);
}

bool ReplicaRegistry::isSettled(TimePoint Now) const {
  return !isRecovering(Now) &&
         m_ConfirmedAt >= m_Contact.latest()->Since + m_Options.ReturnTime;
}

void ReplicaRegistry::confirm(TimePoint At) {
  m_ConfirmedAt = std::max(m_ConfirmedAt, At);
}

void ReplicaRegistry::note(ReplicaTransition::Kind What, const ServerName &Id,
                           StoreRevision Revision) {
  m_Transitions.push_back({.What = What, .Id = Id, .Revision = Revision});
}

std::vector<ReplicaTransition> ReplicaRegistry::takeTransitions() {
  return std::exchange(m_Transitions, {});
}

bool ReplicaRegistry::put(ReplicaRecord Record, StoreRevision Revision) {
  return accept({.Record = std::move(Record), .Revision = Revision}, Revision);
}

bool ReplicaRegistry::accept(KnownReplica Stored, StoreRevision PresentAsOf) {
  ServerName Id = Stored.Record.Id;
  auto Found = m_Entries.find(Id);
  if (Found != m_Entries.end())
    return update(Found->second, std::move(Stored), PresentAsOf);
  if (PresentAsOf <= removedAsOf(Id))
    return false;
  if (hasLeftBefore(Stored))
    holdLeaving(Stored);
  m_Removals.erase(Id);
  note(ReplicaTransition::Kind::Added, Id, Stored.Revision);
  m_Entries.emplace(Id, std::move(Stored));
  return true;
}

bool ReplicaRegistry::update(KnownReplica &Known, KnownReplica Stored,
                             StoreRevision PresentAsOf) {
  ReplicaRecord &Record = Stored.Record;
  bool IsPresumed = Known.Evidence == ReplicaEvidence::Presumed;
  if (Stored.Revision < Known.Revision ||
      (IsPresumed && PresentAsOf <= removedAsOf(Record.Id)))
    return false;
  if (isOutdatedCopy(Known, Stored))
    holdLeaving(Stored);
  if (IsPresumed)
    note(ReplicaTransition::Kind::Revived, Record.Id, Stored.Revision);
  m_Removals.erase(Record.Id);
  bool IsRewritten = Stored.Revision > Known.Revision;
  Known.Revision = Stored.Revision;
  Known.Evidence = ReplicaEvidence::Stored;
  Known.IsHeldLeaving = Stored.IsHeldLeaving;
  // WarmupLeft decreases on its own, so a higher value of the same entry is out
  // of date. A replica that becomes cold again writes a higher one.
  bool IsSameStart = Record.StartedAt == Known.Record.StartedAt;
  bool IsColdAgain =
      IsSameStart && IsRewritten && Record.WarmupLeft > Known.Record.WarmupLeft;
  if (IsSameStart && !IsRewritten)
    Record.WarmupLeft = std::min(Record.WarmupLeft, Known.Record.WarmupLeft);
  ReplicaRecord Unchanged = Known.Record;
  Unchanged.WarmupLeft = Record.WarmupLeft;
  if (Unchanged == Record && !IsColdAgain) {
    Known.Record.WarmupLeft = Record.WarmupLeft;
    return false;
  }
  note(ReplicaTransition::Kind::Updated, Record.Id, Stored.Revision);
  Known.Record = std::move(Record);
  return true;
}

bool ReplicaRegistry::remove(const RemovedReplica &Removed, TimePoint Now) {
  auto Found = m_Entries.find(Removed.Id);
  if (Found != m_Entries.end() && Found->second.Revision > Removed.Revision)
    return false;
  bool IsSettled =
      isSettled(Now) || internal::isMutant(internal::Mutant::ShortListWins);
  Removal &Known = m_Removals[Removed.Id];
  Known.Revision = std::max(Known.Revision, Removed.Revision);
  Known.IsSettled = Known.IsSettled || IsSettled;
  if (Found == m_Entries.end())
    return false;
  if (IsSettled) {
    note(ReplicaTransition::Kind::Removed, Removed.Id, Removed.Revision);
    noteDeparture(Found->second, Removed.Revision, Now);
    m_Entries.erase(Found);
    return true;
  }
  if (Found->second.Evidence == ReplicaEvidence::Stored)
    note(ReplicaTransition::Kind::Missing, Removed.Id, Removed.Revision);
  Found->second.Evidence = ReplicaEvidence::Presumed;
  return false;
}

void ReplicaRegistry::noteDeparture(const KnownReplica &Gone,
                                    StoreRevision Revision, TimePoint Now) {
  std::erase_if(m_Departures, [Now](const auto &Each) {
    return Now - Each.second.At > DepartureRetention;
  });
  if (m_Departures.size() < MaxRemovals)
    m_Departures[Gone.Record.Id] = {
        .StartedAt = Gone.Record.StartedAt, .Revision = Revision, .At = Now};
}

bool ReplicaRegistry::hasLeftBefore(const KnownReplica &Stored) const {
  if (internal::isMutant(internal::Mutant::TrustCopies))
    return false;
  auto Found = m_Departures.find(Stored.Record.Id);
  return Found != m_Departures.end() &&
         Found->second.StartedAt == Stored.Record.StartedAt &&
         Found->second.Revision.era() < Stored.Revision.era();
}

bool ReplicaRegistry::hasCopyExpired(TimePoint Now) const {
  auto Latest = m_Contact.latest();
  if (!Latest)
    return false;
  TimePoint ExpiredAt = Latest->Since + m_Options.CopyExpiry;
  return m_ConfirmedAt >= ExpiredAt &&
         Now >= ExpiredAt + m_Options.RecoveryGrace - m_Options.ReturnTime;
}

void ReplicaRegistry::releaseHeld() {
  for (auto &[Id, Each] : m_Entries) {
    // An entry that has gone again is not that of a replica that lives.
    bool IsStored = Each.Evidence == ReplicaEvidence::Stored;
    if (!Each.IsHeldLeaving || !IsStored)
      continue;
    Each.IsHeldLeaving = false;
    Each.Record.State = ReplicaState::Serving;
    note(ReplicaTransition::Kind::Updated, Id, Each.Revision);
  }
}

bool ReplicaRegistry::presume(KnownReplica Offered, TimePoint Now) {
  const ServerName Id = Offered.Record.Id;
  if (m_Entries.contains(Id))
    return false;
  auto Found = m_Removals.find(Id);
  bool WasRemoved = Offered.Revision <= m_SettledAsOf ||
                    (Found != m_Removals.end() && Found->second.IsSettled &&
                     Offered.Revision <= Found->second.Revision);
  bool IsRefused =
      (WasRemoved && !internal::isMutant(internal::Mutant::ForgetRemovals)) ||
      isSettled(Now);
  if (IsRefused) {
    note(ReplicaTransition::Kind::Refused, Id, Offered.Revision);
    return false;
  }
  if (hasLeftBefore(Offered))
    holdLeaving(Offered);
  note(ReplicaTransition::Kind::Presumed, Id, Offered.Revision);
  m_Entries[Id] = std::move(Offered);
  return true;
}

bool ReplicaRegistry::removeUnlisted(const ReplicaList &List, TimePoint Now) {
  std::set<ServerName> Stored;
  for (const KnownReplica &Each : List.Replicas)
    if (Each.Evidence == ReplicaEvidence::Stored)
      Stored.insert(Each.Record.Id);
  std::vector<ServerName> Missing;
  for (const auto &[Id, Each] : m_Entries)
    if (!Stored.contains(Id))
      Missing.push_back(Id);
  bool Changed = false;
  for (const ServerName &Id : Missing)
    Changed = remove({.Id = Id, .Revision = List.AsOf}, Now) || Changed;
  return Changed;
}

bool ReplicaRegistry::merge(ReplicaList List, TimePoint Now) {
  if (internal::isMutant(internal::Mutant::TrustPresumptions))
    for (KnownReplica &Each : List.Replicas)
      Each.Evidence = ReplicaEvidence::Stored;
  bool IsCurrent = List.AsOf >= m_AsOf;
  bool Changed = IsCurrent && removeUnlisted(List, Now);
  for (const KnownReplica &Each : List.Replicas)
    if (Each.Evidence == ReplicaEvidence::Stored)
      Changed = accept(Each, std::max(Each.Revision, List.AsOf)) || Changed;
  for (const KnownReplica &Each : List.Replicas)
    if (Each.Evidence == ReplicaEvidence::Presumed)
      Changed = presume(Each, Now) || Changed;
  advance(List.AsOf, Now);
  return Changed;
}

bool ReplicaRegistry::merge(const ReplicaDelta &Delta, TimePoint Now) {
  bool Changed = false;
  for (const RemovedReplica &Each : Delta.Removed)
    Changed = remove(Each, Now) || Changed;
  for (const KnownReplica &Each : Delta.Put) {
    if (Each.Evidence == ReplicaEvidence::Stored) {
      Changed = put(Each.Record, Each.Revision) || Changed;
      continue;
    }
    RemovedReplica Missing{.Id = Each.Record.Id, .Revision = Delta.AsOf};
    Changed = remove(Missing, Now) || Changed;
    Changed = presume(Each, Now) || Changed;
  }
  // What this VM read after the sender's earlier list may have been removed
  // since, without a word of it in the changes.
  if (m_AsOf <= Delta.Base)
    advance(Delta.AsOf, Now);
  return Changed;
}

void ReplicaRegistry::advance(StoreRevision Revision, TimePoint Now) {
  m_AsOf = std::max(m_AsOf, Revision);
  settle(Now);
}

void ReplicaRegistry::settle(TimePoint Now) {
  if (isSettled(Now)) {
    m_SettledAsOf = m_AsOf;
    std::erase_if(m_Removals, [this](const auto &Each) {
      return Each.second.Revision <= m_SettledAsOf;
    });
  }
  while (m_Removals.size() > MaxRemovals)
    m_Removals.erase(m_Removals.begin());
}

bool ReplicaRegistry::onStoreContact(ContactSpan Span, TimePoint Now) {
  m_Contact.add(Span);
  return expire(Now);
}

bool ReplicaRegistry::expire(TimePoint Now) {
  if (hasCopyExpired(Now))
    releaseHeld();
  if (!isSettled(Now))
    return false;
  auto Before = m_Entries.size();
  std::erase_if(m_Entries, [this, Now](const auto &Each) {
    bool IsOver = Each.second.Evidence == ReplicaEvidence::Presumed;
    if (IsOver) {
      note(ReplicaTransition::Kind::GaveUp, Each.first, Each.second.Revision);
      noteDeparture(Each.second, m_AsOf, Now);
    }
    return IsOver;
  });
  settle(Now);
  return m_Entries.size() != Before;
}

} // namespace carawaypond

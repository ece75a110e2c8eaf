#pragma once

#include "coordination/replicas/KnownReplica.h"
#include "coordination/replicas/ReplicaReport.h"
#include "coordination/replicas/ReplicaTransition.h"
#include "coordination/replicas/StoreContact.h"
#include "core/time/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief How long entries that are missing from the store stay in use.
struct ReplicaRegistryOptions {
  /// How long after the store's recovery the entry of a live replica may still
  /// be missing from the store.
  Milliseconds ReturnTime{2'000};
  /// ReturnTime, and the time until a VM learns of an entry that is back.
  Milliseconds RecoveryGrace{2'600};
  /// How long after the store has come back from a copy it may still hold the
  /// entry of a replica that is gone: three heartbeats.
  Milliseconds CopyExpiry{3'600};
  /// Shortest store outage during which an entry can expire.
  Milliseconds MinOutage{2'400};
};

/// @brief Tracks the replicas to use, from their entries in the store, and what
/// each is known by.
///
/// Within an era the store's history is linear, and a later era follows it, so
/// evidence of a greater revision wins, whichever VM read it: an entry's own
/// revision, and the revision as of which the whole list is known. Merging
/// reports is commutative, associative and idempotent.
///
/// The start that an entry names orders nothing: the clock of a replica's
/// machine may jump back between two starts. An entry that an earlier start
/// wrote late is in use until the replica next rewrites it.
///
/// During an outage of the store, entries expire because the replicas cannot
/// renew them. Therefore an entry that goes missing around an outage is
/// presumed to live until RecoveryGrace after the store's recovery. Such a
/// presumption is passed on as one and never replaces evidence: a VM refuses it
/// if it knows that the entry was removed, or that the store had no outage.
///
/// A store that comes back from an older copy begins a new era. Replicas that
/// the copy lacks are presumed to live, as after an outage. Those that were
/// leaving or gone, and that the copy holds as serving, are held as leaving
/// until they write their entry again, or the copy's entries have expired.
class ReplicaRegistry {
public:
  using Entries = std::map<ServerName, KnownReplica>;

  explicit ReplicaRegistry(ReplicaRegistryOptions Options)
      : m_Options(Options), m_Contact(Options.MinOutage) {}

  /// @return Replicas that may get requests, and replicas that are leaving.
  [[nodiscard]] const Entries &entries() const { return m_Entries; }
  /// @return The revision as of which the list is complete.
  [[nodiscard]] StoreRevision asOf() const { return m_AsOf; }
  /// @return A revision as of which the store holds no entry of @p Id, which is
  /// not in entries().
  [[nodiscard]] StoreRevision removedAsOf(const ServerName &Id) const;
  /// @return Number of entries that are only presumed.
  [[nodiscard]] std::size_t presumed() const;
  /// @return When the store answered any VM.
  [[nodiscard]] const StoreContact &contact() const { return m_Contact; }
  /// @return When the list last matched the store, as far as this VM knows.
  [[nodiscard]] TimePoint confirmedAt() const { return m_ConfirmedAt; }
  /// @return When presumptions end, or nullopt while the store is out.
  [[nodiscard]] std::optional<TimePoint> presumedUntil(TimePoint Now) const;
  /// @return Whether an entry may be missing because of an outage.
  [[nodiscard]] bool isRecovering(TimePoint Now) const;
  /// @return Whether the store has just come back from a copy, so that it may
  /// lack what it had acknowledged.
  [[nodiscard]] bool isRestoring(TimePoint Now) const;

  /// @brief Adds or updates one entry, which the store holds.
  /// @return Whether anything that affects placement changed.
  bool put(ReplicaRecord Record, StoreRevision Revision);
  /// @brief Removes an entry, or presumes its replica to live around an outage.
  /// @return Whether the replica is no longer in use.
  bool remove(const RemovedReplica &Removed, TimePoint Now);
  /// @brief Merges a list that this or another VM read.
  /// @return Whether anything that affects placement changed.
  bool merge(ReplicaList List, TimePoint Now);
  /// @brief Merges another VM's changes.
  /// @return Whether anything that affects placement changed. If asOf() is
  /// less than that of @p Delta afterwards, the changes do not suffice and the
  /// sender's whole list is needed.
  bool merge(const ReplicaDelta &Delta, TimePoint Now);
  /// @brief Records that the list matched the store at @p At.
  void confirm(TimePoint At);
  /// @brief Records that all changes up to @p Revision have been applied.
  void advance(StoreRevision Revision, TimePoint Now);
  /// @brief Records when the store answered this or another VM.
  /// @return Whether replicas are no longer in use, because this shows that
  /// they were removed and did not expire in an outage.
  bool onStoreContact(ContactSpan Span, TimePoint Now);
  /// @brief Ends the use of presumed replicas that the store still lacked
  /// ReturnTime after its recovery.
  bool expire(TimePoint Now);
  /// @return What changed since the last call, oldest first.
  [[nodiscard]] std::vector<ReplicaTransition> takeTransitions();

private:
  struct Removal {
    StoreRevision Revision;
    /// Whether no outage could explain that the entry was missing.
    bool IsSettled = false;
  };
  /// @brief A start of a replica that was removed.
  struct Departure {
    std::int64_t StartedAt = 0;
    StoreRevision Revision; ///< Of the removal.
    TimePoint At;
  };

  /// @param PresentAsOf A revision as of which the store held the entry.
  bool accept(KnownReplica Stored, StoreRevision PresentAsOf);
  bool update(KnownReplica &Known, KnownReplica Stored,
              StoreRevision PresentAsOf);
  bool presume(KnownReplica Offered, TimePoint Now);
  bool removeUnlisted(const ReplicaList &List, TimePoint Now);
  /// @return Whether no entry of the list may be missing because of an outage.
  [[nodiscard]] bool isSettled(TimePoint Now) const;
  /// @brief Forgets what the revision of the list implies by now.
  void settle(TimePoint Now);
  /// @brief Remembers that the replica left, in case that the store goes back.
  void noteDeparture(const KnownReplica &Gone, StoreRevision Revision,
                     TimePoint Now);
  /// @return Whether @p Stored, of a replica that is not in use, comes from a
  /// copy of the time before it left.
  [[nodiscard]] bool hasLeftBefore(const KnownReplica &Stored) const;
  /// @return Whether entries that the copy alone holds have expired.
  [[nodiscard]] bool hasCopyExpired(TimePoint Now) const;
  /// @brief Ends that replicas are held as leaving.
  void releaseHeld();
  void note(ReplicaTransition::Kind What, const ServerName &Id,
            StoreRevision Revision);

  ReplicaRegistryOptions m_Options;
  Entries m_Entries;
  StoreRevision m_AsOf;
  /// Revision of the list when no outage could explain a missing entry: what it
  /// lacked was removed.
  StoreRevision m_SettledAsOf;
  /// Removals that m_SettledAsOf doesn't imply.
  std::map<ServerName, Removal> m_Removals;
  std::map<ServerName, Departure> m_Departures;
  StoreContact m_Contact;
  TimePoint m_ConfirmedAt = TimePoint::min();
  std::vector<ReplicaTransition> m_Transitions;
};

} // namespace carawaypond

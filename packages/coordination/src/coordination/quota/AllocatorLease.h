#pragma once

#include "coordination/quota/AllocatorRecord.h"
#include "core/time/BootClock.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carawaypond {

struct AllocatorLeaseOptions {
  /// How long a proof of the lease lasts, from the start of the call.
  Milliseconds LeaseTime{3'000};
  Milliseconds RenewInterval{1'000};
  /// How long the allocator must be unreachable before another VM takes over.
  Milliseconds TakeoverDelay{700};
  /// Further delay for each VM that is preferred to this one, so that VMs do
  /// not all write at once.
  Milliseconds DelayPerRank{300};
  std::uint64_t MaxRank = 10;
  /// Age of the proof at which a holder releases the lease, if the store
  /// answers other VMs.
  Milliseconds ReleaseAge{1'700};
  Milliseconds RetryInterval{300}; ///< After a failed call to the store.
};

/// @brief What a VM knows of the fleet when it decides about the lease.
struct FleetOutlook {
  std::uint64_t Rank = 0; ///< How many VMs are preferred to this one.
  /// Whether another VM was heard since the allocator was lost; else this VM
  /// may be the one that is partitioned off.
  bool HearsOthers = false;
  bool IsStoreUp = false; ///< Whether the store answers other VMs.
};

/// @brief The lease as the store holds it.
struct StoredAllocator {
  AllocatorRecord Record;
  StoreRevision Revision;

  /// @return Whether the store has lost no lease since.
  [[nodiscard]] bool isOfThisEra() const {
    return Record.Era == Revision.era();
  }
};

/// @brief Read the lease from the store.
struct ReadLease {};
/// @brief Write the lease, if its revision is still the given one; create it if
/// there is none.
struct WriteLease {
  AllocatorRecord Record;
  std::optional<StoreRevision> Revision;
};

using LeaseAction = std::variant<ReadLease, WriteLease>;

/// @brief Decides which VM allocates quotas, by a lease in the store.
///
/// Handles an allocator that is killed, frozen or partitioned off from the
/// store or from the other VMs. A VM that needs it and can't reach it replaces
/// the lease, and allocates only once the lease that it replaced must have
/// run out. The holder proves its lease by writing it again: a write that
/// succeeds came before any replacement, whose writer still waits for
/// LeaseTime. A holder that the store turns away releases the lease by telling
/// the VMs.
///
/// A store that comes back from an older copy has lost leases, and may hold one
/// that was replaced or released. What it holds from an earlier era therefore
/// shows nothing: a VM that replaces such a lease, creates one, or goes on with
/// its own waits for LeaseTime, and a new term leaves room for those that were
/// lost.
///
/// A VM is in one of these states:
/// - An allocator is known and was reached, or nothing was asked of it: no
///   calls to the store (missingSince() is empty, isHolder() is false).
/// - The allocator is missing: reads the lease and replaces it after a delay by
///   rank (missingSince() is set).
/// - Holds the lease and waits until it may grant, renewing it (isHolder() is
///   true, mayGrant() is false).
/// - Holds the lease and grants (mayGrant() is true).
/// - Holds the lease, but its proof has run out: goes on renewing it, or
///   reads it where a write's result is unknown (isHolder() is true, mayGrant()
///   is false).
/// - Has released the lease (newest() names it as released): it does not hold
///   that term again. A VM that was turned away counts the allocator as missing
///   and may take a later term.
class AllocatorLease {
public:
  /// @param Self This VM; its Term is ignored.
  AllocatorLease(AllocatorRecord Self, AllocatorLeaseOptions Options,
                 BootTime Now);

  /// @return The newest allocator that is known, if it has not released.
  [[nodiscard]] std::optional<AllocatorRecord> known() const;
  /// @return The newest allocator that is known; it may have released.
  [[nodiscard]] const std::optional<AllocatorRecord> &newest() const {
    return m_Known;
  }
  /// @return Whether this VM may grant tokens.
  [[nodiscard]] bool mayGrant(BootTime Now) const;
  /// @return Whether this VM holds the lease, perhaps not allocating yet.
  [[nodiscard]] bool isHolder() const { return m_IsHolder; }
  /// @return Whether there was no allocator before this one.
  [[nodiscard]] bool isFirst() const { return m_IsFirst; }
  /// @return Since when no allocator could be reached, unless one is known.
  [[nodiscard]] std::optional<BootTime> missingSince() const {
    return m_MissingSince;
  }

  /// @return The next call to the store, if one is due. None is due until its
  /// result was reported.
  [[nodiscard]] std::optional<LeaseAction> tick(const FleetOutlook &Fleet,
                                                BootTime Now);
  /// @return The write that releases the lease, if this VM holds it; its result
  /// is not reported. That of a call that is outstanding has no effect.
  [[nodiscard]] std::optional<WriteLease> release(BootTime Now);

  /// @brief Handles what another VM says about the allocator.
  void onAllocatorNamed(const AllocatorRecord &Heard, BootTime Now);
  /// @brief Records that this VM got no answer of the allocator of @p Term.
  void onAllocatorUnreachable(std::uint64_t Term, BootTime Now);
  /// @brief Records that the allocator answered.
  void onAllocatorReached();
  /// @brief Records that another incarnation answered in place of the allocator
  /// of @p Term, whose process has therefore ended.
  void onAllocatorEnded(std::uint64_t Term, BootTime Now);
  /// @param Found What the store holds, or nothing if it holds no lease.
  /// @param Era Of the store that has answered.
  void onRead(std::optional<StoredAllocator> Found, StoreEra Era, BootTime Now);
  /// @param Revision Of the lease that was written.
  void onWritten(StoreRevision Revision, BootTime Now);
  /// @brief A call to the store has failed, or may have. The lease is read
  /// again before anything else.
  void onCallFailed(BootTime Now);

private:
  void updateKnown(const AllocatorRecord &Newest, BootTime Now);
  void stopHolding() { m_IsHolder = false; }
  /// @return Whether the store may have lost a lease that replaced this one.
  [[nodiscard]] bool mustRegain() const { return m_ProvedEra != m_Era; }
  [[nodiscard]] bool isOwn(const AllocatorRecord &Record) const;
  /// @return Whether the lease that was found can't be in use any more.
  [[nodiscard]] bool isStoredUnused() const;
  /// @return Whether the lease that was found may be replaced now.
  [[nodiscard]] bool mayReplace(const FleetOutlook &Fleet, BootTime Now) const;
  [[nodiscard]] Milliseconds takeoverDelay(const FleetOutlook &Fleet) const;
  [[nodiscard]] WriteLease takeover() const;
  [[nodiscard]] WriteLease renewal(BootTime Now) const;
  [[nodiscard]] std::optional<LeaseAction> renew(const FleetOutlook &Fleet,
                                                 BootTime Now);
  void recordStored(std::optional<StoredAllocator> Found, BootTime Now);
  LeaseAction startWrite(WriteLease Lease);
  /// @brief Ignores the result of the outstanding call, if there is one. A
  /// write of it that takes effect is found by reading.
  void dropCall();
  /// @return Whether the result of the call that has ended counts.
  [[nodiscard]] bool endCall();
  /// @brief Forgets what the store holds, so that it is read again.
  void forgetStored();
  void startHolding(AllocatorRecord Record, BootTime GrantsFrom);
  /// @brief Handles a write that shows that this VM still holds the lease.
  void prove(AllocatorRecord Written, BootTime Now);

  AllocatorRecord m_Self;
  AllocatorLeaseOptions m_Options;
  std::optional<AllocatorRecord> m_Known;
  /// What the last read found, if that is still to be replaced.
  std::optional<StoredAllocator> m_Stored;
  /// Revision that the last reads found, and since when.
  StoreRevision m_ReadRevision;
  BootTime m_ReadRevisionSince;
  bool m_IsAbsent = false;                ///< The last read found no lease.
  std::optional<BootTime> m_MissingSince; ///< No allocator could be reached.
  bool m_IsCalling = false;
  bool m_IsCallDropped = false; ///< The outstanding call's result is ignored.
  BootTime m_CalledAt;          ///< Start of the latest call.
  BootTime m_NextCall;
  bool m_IsHolder = false;
  bool m_IsFirst = false;
  BootTime m_GrantsFrom;
  BootTime m_ProvedAt;
  StoreRevision m_Revision; ///< Of the lease that this VM holds.
  StoreEra m_Era;           ///< Of the store's latest answer.
  StoreEra m_ProvedEra;     ///< Of the store at m_ProvedAt.
  /// False after a write whose result is unknown.
  bool m_IsRevisionKnown = false;
  std::optional<WriteLease> m_OutstandingWrite;
};

} // namespace carawaypond

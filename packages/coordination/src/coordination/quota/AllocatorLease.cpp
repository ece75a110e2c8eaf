#include "coordination/quota/AllocatorLease.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

/// More terms than can begin in the seconds that a restored store has lost.
constexpr std::uint64_t MaxLostTerms = 1'000;

} // namespace

AllocatorLease::AllocatorLease(AllocatorRecord Self,
                               AllocatorLeaseOptions Options, BootTime Now)
    : m_Self(std::move(Self)), m_Options(Options), m_MissingSince(Now),
      m_NextCall(Now) {}

std::optional<AllocatorRecord> AllocatorLease::known() const {
  if (!m_Known || m_Known->IsReleased)
    return std::nullopt;
  return m_Known;
}

bool AllocatorLease::mayGrant(BootTime Now) const {
  return m_IsHolder && Now >= m_GrantsFrom &&
         Now < m_ProvedAt + m_Options.LeaseTime;
}

bool AllocatorLease::isOwn(const AllocatorRecord &Record) const {
  return Record.Vm == m_Self.Vm &&
         Record.IncarnationNumber == m_Self.IncarnationNumber;
}

void AllocatorLease::updateKnown(const AllocatorRecord &Newest, BootTime Now) {
  bool IsNew = !m_Known || Newest.Term > m_Known->Term ||
               (Newest.Term == m_Known->Term && Newest.IsReleased);
  if (!IsNew)
    return;
  m_Known = Newest;
  if (m_OutstandingWrite && m_OutstandingWrite->Record.Term < Newest.Term)
    dropCall();
  if (m_IsHolder && !isOwn(Newest))
    stopHolding();
  if (Newest.IsReleased)
    m_MissingSince = Now;
  else
    m_MissingSince.reset();
}

void AllocatorLease::onAllocatorNamed(const AllocatorRecord &Heard,
                                      BootTime Now) {
  // Only the store can tell that this VM still holds a lease.
  if (isOwn(Heard))
    return;
  updateKnown(Heard, Now);
}

void AllocatorLease::onAllocatorUnreachable(std::uint64_t Term, BootTime Now) {
  bool IsCurrent = !m_Known || m_Known->Term == Term;
  if (IsCurrent && !m_IsHolder && !m_MissingSince)
    m_MissingSince = Now;
}

void AllocatorLease::onAllocatorReached() {
  if (m_Known && !m_Known->IsReleased)
    m_MissingSince.reset();
}

LeaseAction AllocatorLease::startWrite(WriteLease Lease) {
  m_OutstandingWrite = Lease;
  return Lease;
}

void AllocatorLease::dropCall() {
  m_IsCallDropped = m_IsCalling;
  m_OutstandingWrite.reset();
}

bool AllocatorLease::endCall() {
  m_IsCalling = false;
  return !std::exchange(m_IsCallDropped, false);
}

void AllocatorLease::forgetStored() {
  m_OutstandingWrite.reset();
  m_Stored.reset();
  m_IsAbsent = false;
  m_IsRevisionKnown = false;
}

Milliseconds AllocatorLease::takeoverDelay(const FleetOutlook &Fleet) const {
  std::uint64_t Rank = std::min(Fleet.Rank, m_Options.MaxRank);
  Milliseconds Delay = m_Options.DelayPerRank * static_cast<std::int64_t>(Rank);
  // A VM that the store has turned away lets the others go first.
  bool IsReleased = m_Known && m_Known->IsReleased && !isOwn(*m_Known);
  return IsReleased ? Delay : Delay + m_Options.TakeoverDelay;
}

WriteLease AllocatorLease::renewal(BootTime Now) const {
  WriteLease Lease{.Record = *m_Known, .Revision = m_Revision};
  Lease.Record.Era = m_Revision.era();
  ++Lease.Record.Renewal;
  Lease.Record.IsSettled =
      !mustRegain() && (m_Known->IsSettled || mayGrant(Now));
  return Lease;
}

void AllocatorLease::onAllocatorEnded(std::uint64_t Term, BootTime Now) {
  if (m_IsHolder || !m_Known || m_Known->Term != Term || m_Known->IsReleased)
    return;
  m_Known->IsReleased = true;
  m_MissingSince = Now;
}

std::optional<LeaseAction> AllocatorLease::renew(const FleetOutlook &Fleet,
                                                 BootTime Now) {
  bool IsTurnedAway = m_Known->IsSettled && Fleet.IsStoreUp &&
                      Now >= m_ProvedAt + m_Options.ReleaseAge;
  if (IsTurnedAway) {
    stopHolding();
    m_Known->IsReleased = true;
    // There may be no other VM that takes the lease.
    m_MissingSince = Now;
    return std::nullopt;
  }
  if (Now < m_CalledAt + m_Options.RenewInterval && m_IsRevisionKnown)
    return std::nullopt;
  m_IsCalling = true;
  m_CalledAt = Now;
  if (!m_IsRevisionKnown)
    return ReadLease{};
  return startWrite(renewal(Now));
}

bool AllocatorLease::mayReplace(const FleetOutlook &Fleet, BootTime Now) const {
  if (m_IsAbsent)
    return true;
  if (!m_Stored)
    return false;
  // A holder that is alive renews its lease meanwhile.
  bool IsIdle = Now >= m_ReadRevisionSince + m_Options.LeaseTime;
  return Fleet.HearsOthers || IsIdle || isStoredUnused();
}

std::optional<LeaseAction> AllocatorLease::tick(const FleetOutlook &Fleet,
                                                BootTime Now) {
  if (m_IsCalling || Now < m_NextCall)
    return std::nullopt;
  if (m_IsHolder)
    return renew(Fleet, Now);
  if (!m_MissingSince || Now < *m_MissingSince + takeoverDelay(Fleet))
    return std::nullopt;
  m_IsCalling = true;
  m_CalledAt = Now;
  if (mayReplace(Fleet, Now))
    return startWrite(takeover());
  if (m_Stored)
    m_NextCall = Now + m_Options.RetryInterval;
  return ReadLease{};
}

bool AllocatorLease::isStoredUnused() const {
  // A store that names no era never goes back.
  if (!m_Stored)
    return !m_Known && m_Era == StoreEra(0);
  if (!m_Stored->isOfThisEra())
    return false;
  const AllocatorRecord &Before = m_Stored->Record;
  // Its holder may have told of the release while it could not write it.
  bool IsToldReleased =
      m_Known && m_Known->IsReleased && m_Known->Term == Before.Term;
  bool HasEnded = Before.IsReleased || Before.Vm == m_Self.Vm || IsToldReleased;
  return Before.IsSettled && HasEnded;
}

WriteLease AllocatorLease::takeover() const {
  WriteLease Lease{.Record = m_Self, .Revision = {}};
  Lease.Record.Term = 1 + std::max(m_Stored ? m_Stored->Record.Term : 0,
                                   m_Known ? m_Known->Term : 0);
  bool MayHaveLost = m_Stored ? !m_Stored->isOfThisEra() : m_Known.has_value();
  if (MayHaveLost && m_Era > StoreEra(0))
    Lease.Record.Term += MaxLostTerms;
  Lease.Record.IsSettled = isStoredUnused();
  Lease.Record.Era = m_Era;
  if (m_Stored)
    Lease.Revision = m_Stored->Revision;
  return Lease;
}

std::optional<WriteLease> AllocatorLease::release(BootTime Now) {
  // Its answer may arrive once another VM, told of the release, allocates.
  dropCall();
  if (!m_IsHolder)
    return std::nullopt;
  bool IsInUse = mayGrant(Now);
  stopHolding();
  m_Known->IsReleased = true;
  // While the lease that this one replaced may be in use, nobody may take this
  // one to be free.
  if (!IsInUse)
    return std::nullopt;
  WriteLease Lease{.Record = *m_Known, .Revision = m_Revision};
  Lease.Record.Era = m_Revision.era();
  return Lease;
}

void AllocatorLease::startHolding(AllocatorRecord Record, BootTime GrantsFrom) {
  m_Known = std::move(Record);
  m_IsHolder = true;
  m_GrantsFrom = GrantsFrom;
  m_ProvedAt = m_CalledAt;
  m_ProvedEra = m_Era;
  m_MissingSince.reset();
  m_Stored.reset();
  m_IsAbsent = false;
}

void AllocatorLease::recordStored(std::optional<StoredAllocator> Found,
                                  BootTime Now) {
  StoreRevision Revision = Found ? Found->Revision : StoreRevision();
  if (Revision != m_ReadRevision)
    m_ReadRevisionSince = Now;
  m_ReadRevision = Revision;
  m_IsAbsent = !Found;
  m_Stored = std::move(Found);
}

void AllocatorLease::onRead(std::optional<StoredAllocator> Found, StoreEra Era,
                            BootTime Now) {
  if (!endCall())
    return forgetStored();
  if (Era < m_Era)
    return forgetStored();
  m_Era = Era;
  recordStored(std::move(Found), Now);
  if (!m_Stored)
    return stopHolding();
  const AllocatorRecord &Record = m_Stored->Record;
  bool HasReleased =
      m_Known && m_Known->IsReleased && m_Known->Term == Record.Term;
  // A newer term was heard while the read was outstanding.
  bool IsOutdated = m_Known && m_Known->Term > Record.Term;
  bool IsOwn =
      isOwn(Record) && !Record.IsReleased && !HasReleased && !IsOutdated;
  if (IsOwn) {
    m_Revision = m_Stored->Revision;
    m_IsRevisionKnown = true;
  }
  if (IsOwn && m_IsHolder && !m_Stored->isOfThisEra()) {
    // Only a write shows that no later lease was lost; it is due at once.
    m_CalledAt = Now - m_Options.RenewInterval;
    return;
  }
  if (IsOwn && m_IsHolder) {
    m_ProvedAt = m_CalledAt;
    m_Known = Record;
    return;
  }
  if (IsOwn) {
    // The answer to the write was lost. When it took effect is unknown.
    m_IsFirst = false;
    return startHolding(Record, Now + m_Options.LeaseTime);
  }
  stopHolding();
  bool IsKnown = m_Known && m_Known->Term >= Record.Term;
  bool IsEarlierOwn = Record.Vm == m_Self.Vm;
  if (!IsKnown && !IsEarlierOwn && !Record.IsReleased) {
    updateKnown(AllocatorRecord(Record), Now);
    m_Stored.reset();
  }
}

void AllocatorLease::prove(AllocatorRecord Written, BootTime Now) {
  if (mustRegain())
    m_GrantsFrom = Now + m_Options.LeaseTime;
  m_Known = std::move(Written);
  m_ProvedAt = m_CalledAt;
  m_ProvedEra = m_Era;
}

void AllocatorLease::onWritten(StoreRevision Revision, BootTime Now) {
  if (!endCall())
    return forgetStored();
  m_Era = std::max(m_Era, Revision.era());
  if (!m_OutstandingWrite)
    return;
  AllocatorRecord Written =
      std::exchange(m_OutstandingWrite, std::nullopt)->Record;
  m_Revision = Revision;
  m_IsRevisionKnown = true;
  if (m_IsHolder)
    return prove(std::move(Written), Now);
  m_IsFirst = !m_Stored && !m_Known;
  BootTime GrantsFrom = Written.IsSettled ? Now : Now + m_Options.LeaseTime;
  startHolding(std::move(Written), GrantsFrom);
}

void AllocatorLease::onCallFailed(BootTime Now) {
  (void)endCall();
  forgetStored();
  m_NextCall = Now + m_Options.RetryInterval;
}

} // namespace carawaypond

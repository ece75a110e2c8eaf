#include "coordination/queue/ReplicaSetQueue.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

namespace {

using internal::isMutant;
using internal::Mutant;

constexpr double TypicalQuantile = 0.5;
constexpr Duration DefaultService = Milliseconds(5);
/// Delay before a hedge that found no free slot is tried again.
constexpr Duration HedgeRetryDelay = Milliseconds(1);

} // namespace

ReplicaSetQueue::ReplicaSetQueue(ReplicaSetQueueOptions Options,
                                 QueueResources Resources)
    : m_Options(std::move(Options)), m_Resources(Resources),
      m_Selector(m_Options.Replicas, Resources.Slots, Resources.Scores,
                 Resources.Versions),
      m_Scheduler(m_Options.Classes) {}

std::optional<TimePoint> ReplicaSetQueue::nextWake() const {
  std::optional<TimePoint> Next;
  if (!m_Deadlines.empty())
    Next = m_Deadlines.begin()->first;
  if (!m_HedgeTimers.empty())
    Next =
        std::min(Next.value_or(TimePoint::max()), m_HedgeTimers.begin()->first);
  return Next;
}

Duration ReplicaSetQueue::expectedWait(const ClassName &Class,
                                       TimePoint Now) const {
  if (waiting() == 0 && m_Selector.hasFreeSlot())
    return Duration::zero();
  std::uint32_t Slots = m_Selector.usableSlots();
  if (Slots == 0)
    return Duration::max();
  Duration Service = m_Resources.Latencies.quantile(Class, TypicalQuantile, Now)
                         .value_or(DefaultService);
  return Service * (waiting() + 1) / Slots;
}

/// @return Whether the entry would miss its deadline even if it were sent now,
/// by the class's median latency. Always false while no other entry waits for
/// the slot.
bool ReplicaSetQueue::wouldMissDeadline(const Entry &E, TimePoint Now) const {
  if (waiting() == 0)
    return false;
  std::optional<Duration> Typical =
      m_Resources.Latencies.quantile(E.Request.Class, TypicalQuantile, Now);
  return Typical && E.Request.Deadline - Now < *Typical;
}

Duration ReplicaSetQueue::hedgeDelay(const Entry &E, TimePoint Now) const {
  Duration Delay = m_Resources.Latencies
                       .quantile(E.Request.Class, m_Options.HedgeQuantile, Now)
                       .value_or(m_Options.DefaultHedgeDelay);
  return std::max(Delay, m_Options.MinHedgeDelay);
}

QueueActions ReplicaSetQueue::enqueue(Subrequest Request, TimePoint Now) {
  QueueActions Out;
  SubrequestId Id = Request.Id;
  if (m_Entries.contains(Id))
    return Out;
  Entry &E = m_Entries[Id];
  E.Request = std::move(Request);
  E.IsWaiting = true;
  m_Deadlines.emplace(E.Request.Deadline, Id);
  m_Scheduler.push(E.Request.Class, E.Request.Deadline, Id);
  if (!m_Selector.hasCandidate(E))
    complete(Id, SubNotRun{.Reason = SubReason::NoReplica}, Out);
  processQueue(Now, Out);
  return Out;
}

void ReplicaSetQueue::onStarted(AttemptId Id, TimePoint Now) {
  auto Found = m_Attempts.find(Id);
  if (Found != m_Attempts.end())
    Found->second.SentAt = Now;
}

/// Removes an attempt and frees its slot.
std::optional<ReplicaSetQueue::Attempt>
ReplicaSetQueue::endAttempt(AttemptId Id) {
  auto Found = m_Attempts.find(Id);
  if (Found == m_Attempts.end()) {
    ++m_Counters.LateEvents;
    return std::nullopt;
  }
  Attempt Ended = std::move(Found->second);
  m_Attempts.erase(Found);
  m_Resources.Slots.release(Ended.Server);
  return Ended;
}

/// Removes the attempt from its entry.
/// @return The entry, or nullptr if it has completed.
ReplicaSetQueue::Entry *ReplicaSetQueue::detachFromEntry(const Attempt &Ended,
                                                         AttemptId Id) {
  auto Found = m_Entries.find(Ended.Request);
  if (Found == m_Entries.end())
    return nullptr;
  std::erase(Found->second.OutstandingAttempts, Id);
  return &Found->second;
}

QueueActions ReplicaSetQueue::onAnswered(AttemptId Id, SubAnswered Answer,
                                         TimePoint Now) {
  QueueActions Out;
  std::optional<Attempt> Ended = endAttempt(Id);
  if (!Ended)
    return Out;
  m_Resources.Latencies.record(Ended->Class, Now - Ended->SentAt, Now);
  m_Resources.Scores.noteLatency(Ended->Server, Now - Ended->SentAt, Now);
  Entry *E = detachFromEntry(*Ended, Id);
  if (E != nullptr) {
    bool IsPinned = Answer.Version == E->Request.Version &&
                    Answer.Layout == E->Request.Layout;
    if (IsPinned || isMutant(Mutant::MixVersions)) {
      recordOvertakenAttempts(*E, Now);
      complete(E->Request.Id, std::move(Answer), Out);
    } else {
      ++m_Counters.WrongVersions;
      E->MayHaveRun = true;
      E->Reason = SubReason::WrongVersion;
      retryOrComplete(*E, Now, Out);
    }
  }
  processQueue(Now, Out);
  return Out;
}

/// Records how long the attempts that lost against an answer have taken so far:
/// a lower bound of their latency.
void ReplicaSetQueue::recordOvertakenAttempts(const Entry &E, TimePoint Now) {
  for (AttemptId Id : E.OutstandingAttempts) {
    const Attempt &Loser = m_Attempts.at(Id);
    m_Resources.Scores.noteLatency(Loser.Server, Now - Loser.SentAt, Now);
  }
}

QueueActions ReplicaSetQueue::onRefused(AttemptId Id,
                                        const ServerRefusal &Refusal,
                                        TimePoint Now) {
  QueueActions Out;
  std::optional<Attempt> Ended = endAttempt(Id);
  if (!Ended)
    return Out;
  bool IsVersion = isAboutVersion(Refusal.Reason);
  if (!IsVersion && Refusal.Reason != SubReason::Cancelled)
    m_Resources.Scores.noteRefusal(Ended->Server, Now);
  Entry *E = detachFromEntry(*Ended, Id);
  if (E != nullptr) {
    E->Reason = Refusal.Reason;
    E->MayHaveRun = E->MayHaveRun || Refusal.Ran;
    if (IsVersion && !Refusal.Ran)
      recordVersionRefusal(*E, Ended->Server, Refusal, Now);
    retryOrComplete(*E, Now, Out);
  }
  processQueue(Now, Out);
  return Out;
}

void ReplicaSetQueue::recordVersionRefusal(Entry &E, const ServerName &Server,
                                           const ServerRefusal &Refusal,
                                           TimePoint Now) {
  for (const VersionRange &Range : Refusal.Served)
    m_Resources.Versions.noteRefusal(Server, E.Request.Shard, Range, Now);
  E.VersionRefusals.push_back(
      {.Server = Server, .Shard = E.Request.Shard, .Ranges = Refusal.Served});
}

QueueActions ReplicaSetQueue::onLost(AttemptId Id, TimePoint Now) {
  QueueActions Out;
  std::optional<Attempt> Ended = endAttempt(Id);
  if (!Ended)
    return Out;
  m_Resources.Scores.noteRefusal(Ended->Server, Now);
  Entry *E = detachFromEntry(*Ended, Id);
  if (E != nullptr) {
    E->Reason = SubReason::ConnectionLost;
    E->MayHaveRun = true;
    retryOrComplete(*E, Now, Out);
  }
  processQueue(Now, Out);
  return Out;
}

/// Retries or completes an entry after its last outstanding attempt ended
/// without an answer.
void ReplicaSetQueue::retryOrComplete(Entry &E, TimePoint Now,
                                      QueueActions &Out) {
  disarmHedge(E);
  if (!E.OutstandingAttempts.empty())
    return;
  if (!retry(E, Now))
    complete(E.Request.Id, failedOutcome(E), Out);
}

bool ReplicaSetQueue::retry(Entry &E, TimePoint Now) {
  bool IsAllowed = E.Request.Repeatable || !E.MayHaveRun;
  if (!IsAllowed || E.Request.Deadline <= Now || !m_Selector.hasCandidate(E))
    return false;
  if (!m_Resources.Budget.trySpend())
    return false;
  ++E.BudgetedSends;
  ++m_Counters.Retries;
  E.IsWaiting = true;
  m_Scheduler.push(E.Request.Class, E.Request.Deadline, E.Request.Id);
  return true;
}

QueueActions ReplicaSetQueue::cancel(SubrequestId Id, TimePoint Now) {
  QueueActions Out;
  auto Found = m_Entries.find(Id);
  if (Found == m_Entries.end())
    return Out;
  Found->second.Reason = SubReason::Cancelled;
  complete(Id, failedOutcome(Found->second), Out);
  processQueue(Now, Out);
  return Out;
}

QueueActions ReplicaSetQueue::tick(TimePoint Now) {
  QueueActions Out;
  processQueue(Now, Out);
  return Out;
}

void ReplicaSetQueue::reconfigure(const ReplicaSetQueueOptions &Options) {
  std::vector<ServerName> Replicas = std::move(m_Options.Replicas);
  m_Options = Options;
  m_Options.Replicas = std::move(Replicas);
  m_Scheduler.setShares(Options.Classes);
}

QueueActions ReplicaSetQueue::setReplicas(std::vector<ServerName> Replicas,
                                          TimePoint Now) {
  m_Selector.setReplicas(std::move(Replicas));
  return onServersChanged(Now);
}

QueueActions ReplicaSetQueue::onServersChanged(TimePoint Now) {
  QueueActions Out;
  std::vector<SubrequestId> Unsendable;
  for (const auto &[Id, E] : m_Entries)
    if (E.IsWaiting && !m_Selector.hasCandidate(E))
      Unsendable.push_back(Id);
  for (SubrequestId Id : Unsendable) {
    Entry &E = m_Entries.at(Id);
    E.Reason = SubReason::NoReplica;
    complete(Id, failedOutcome(E), Out);
  }
  processQueue(Now, Out);
  return Out;
}

void ReplicaSetQueue::processQueue(TimePoint Now, QueueActions &Out) {
  dropExpired(Now, Out);
  sendDueHedges(Now, Out);
  sendWaiting(Now, Out);
}

void ReplicaSetQueue::dropExpired(TimePoint Now, QueueActions &Out) {
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Now) {
    SubrequestId Id = m_Deadlines.begin()->second;
    Entry &E = m_Entries.at(Id);
    if (!E.OutstandingAttempts.empty())
      E.Reason = SubReason::Timeout;
    complete(Id, failedOutcome(E), Out);
  }
}

void ReplicaSetQueue::sendDueHedges(TimePoint Now, QueueActions &Out) {
  while (!m_HedgeTimers.empty() && m_HedgeTimers.begin()->first <= Now) {
    Entry &E = m_Entries.at(m_HedgeTimers.begin()->second);
    disarmHedge(E);
    if (!m_Selector.hasCandidate(E))
      continue;
    std::optional<ServerName> Server = m_Selector.selectFree(E, Now);
    if (!Server) {
      armHedge(E, Now + HedgeRetryDelay);
      continue;
    }
    if (!m_Resources.Budget.trySpend())
      continue;
    ++E.BudgetedSends;
    ++m_Counters.Hedges;
    send(E, *Server, Now, Out);
  }
}

void ReplicaSetQueue::sendWaiting(TimePoint Now, QueueActions &Out) {
  std::optional<ServerName> Server;
  auto CanSend = [&](SubrequestId Id) {
    Server = m_Selector.selectFree(m_Entries.at(Id), Now);
    return Server.has_value();
  };
  while (m_Scheduler.size() > 0 && m_Selector.hasFreeSlot()) {
    std::optional<SubrequestId> Id = m_Scheduler.popFirst(CanSend);
    if (!Id)
      return;
    Entry &E = m_Entries.at(*Id);
    E.IsWaiting = false;
    if (wouldMissDeadline(E, Now)) {
      E.Reason = SubReason::Overloaded;
      complete(*Id, failedOutcome(E), Out);
    } else {
      send(E, *Server, Now, Out);
    }
  }
}

void ReplicaSetQueue::send(Entry &E, const ServerName &Server, TimePoint Now,
                           QueueActions &Out) {
  CARAWAYPOND_INVARIANT(Now < E.Request.Deadline,
                        "a subrequest was sent past its deadline");
  CARAWAYPOND_INVARIANT(E.Request.Repeatable ||
                            (!E.MayHaveRun && E.OutstandingAttempts.empty()),
                        "a subrequest that is not repeatable was sent again");
  CARAWAYPOND_INVARIANT(E.Sends == E.BudgetedSends,
                        "a hedge or retry was sent without a budget token");
  m_Resources.Slots.acquire(Server);
  if (E.Sends == 0)
    m_Resources.Budget.countPrimary();
  ++E.Sends;
  ++m_Counters.Sends;
  AttemptId Id = m_Resources.Attempts.next();
  E.OutstandingAttempts.push_back(Id);
  E.Tried.push_back(Server);
  m_Attempts.emplace(Id, Attempt{.Request = E.Request.Id,
                                 .Server = Server,
                                 .Class = E.Request.Class,
                                 .SentAt = Now});
  bool CanHedge = E.Request.Repeatable && E.OutstandingAttempts.size() == 1 &&
                  m_Selector.replicaCount() > 1;
  if (CanHedge)
    armHedge(E, Now + hedgeDelay(E, Now));
  Out.push_back(
      SendAttempt{.Attempt = Id, .Server = Server, .Request = E.Request});
}

void ReplicaSetQueue::armHedge(Entry &E, TimePoint At) {
  E.HedgeAt = At;
  m_HedgeTimers.emplace(At, E.Request.Id);
}

void ReplicaSetQueue::disarmHedge(Entry &E) {
  if (!E.HedgeAt)
    return;
  m_HedgeTimers.erase({*E.HedgeAt, E.Request.Id});
  E.HedgeAt.reset();
}

/// Removes an entry and cancels its outstanding attempts.
void ReplicaSetQueue::complete(SubrequestId Id, SubOutcome Outcome,
                               QueueActions &Out) {
  auto Found = m_Entries.find(Id);
  Entry &E = Found->second;
  CARAWAYPOND_INVARIANT(isMutant(Mutant::DoubtIsNotRun) ||
                            !std::holds_alternative<SubNotRun>(Outcome) ||
                            (!E.MayHaveRun && E.OutstandingAttempts.empty()),
                        "\"not run\" for a subrequest that may have run");
  if (E.IsWaiting)
    m_Scheduler.erase(E.Request.Class, E.Request.Deadline, Id);
  disarmHedge(E);
  m_Deadlines.erase({E.Request.Deadline, Id});
  for (AttemptId Live : E.OutstandingAttempts)
    Out.push_back(
        CancelAttempt{.Attempt = Live, .Server = m_Attempts.at(Live).Server});
  Out.push_back(CompleteSubrequest{.Id = Id, .Outcome = std::move(Outcome)});
  m_Entries.erase(Found);
}

SubOutcome ReplicaSetQueue::failedOutcome(const Entry &E) {
  bool IsInDoubt = E.MayHaveRun || !E.OutstandingAttempts.empty();
  if (IsInDoubt && !isMutant(Mutant::DoubtIsNotRun))
    return SubInDoubt{.Reason = E.Reason};
  if (isAboutVersion(E.Reason))
    return SubVersionGone{.Served = E.VersionRefusals};
  return SubNotRun{.Reason = E.Reason};
}

} // namespace carawaypond

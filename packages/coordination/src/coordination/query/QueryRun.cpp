#include "coordination/query/QueryRun.h"

#include "coordination/internal/Mutant.h"
#include "coordination/query/QueryFinalState.h"
#include "core/invariant/Invariant.h"

#include <algorithm>

namespace carawaypond {

namespace {

using internal::isMutant;
using internal::Mutant;

/// @return Whether the reason concerns the owner, so that another VM may
/// succeed.
bool isOwnerUnreachable(SubReason Reason) {
  return Reason == SubReason::NoOwner || Reason == SubReason::NotConnected;
}

} // namespace

struct QueryRun::OutcomeVisitor {
  QueryRun &Run;
  Send &Sent;
  TimePoint Now;
  QueryActions &Out;

  [[nodiscard]] bool isCurrent() const { return Sent.Round == Run.m_Round; }
  [[nodiscard]] ShardRun &shard() const {
    return Run.m_Shards[Sent.ShardIndex];
  }

  void operator()(const SubAnswered &Answer) const {
    Run.m_Sends.setState(Sent, SendState::Ran);
    if (!isCurrent()) {
      ++Run.m_Counters.LateAnswers;
      return;
    }
    if (Run.isPinned(Answer) || isMutant(Mutant::MixVersions)) {
      Run.accept(shard(), Answer, Out);
      return;
    }
    ++Run.m_Counters.WrongVersions;
    Run.failShard(shard(), SubReason::WrongVersion);
  }

  void operator()(const SubNotRun &Refusal) const {
    Run.m_Sends.setState(Sent, SendState::NotRun);
    if (!isCurrent())
      return;
    if (isOwnerUnreachable(Refusal.Reason))
      Run.rerouteOrFail(Sent.ShardIndex, Refusal.Reason, Now, Out);
    else
      Run.failShard(shard(), Refusal.Reason);
  }

  void operator()(const SubInDoubt &Doubt) const {
    Run.m_Sends.setState(Sent, SendState::InDoubt);
    if (isCurrent())
      Run.failShard(shard(), Doubt.Reason);
  }

  void operator()(const SubVersionGone &Gone) const {
    Run.m_Sends.setState(Sent, SendState::NotRun);
    for (const ReplicaVersions &Replica : Gone.Served)
      for (const VersionRange &Range : Replica.Ranges)
        Run.m_Resources.Pinner.board().noteRefusal(Replica.Server,
                                                   Replica.Shard, Range, Now);
    if (!isCurrent())
      return;
    if (!Run.restart(Now, Out))
      Run.failShard(shard(), SubReason::VersionGone);
  }
};

QueryRun::QueryRun(Query Asked, QueryResources Resources,
                   QueryRunOptions Options)
    : m_Query(std::move(Asked)), m_Resources(std::move(Resources)),
      m_Options(Options) {}

std::optional<TimePoint> QueryRun::nextWake() const {
  if (m_Finished)
    return std::nullopt;
  if (m_RerouteTimers.empty())
    return m_Query.Deadline;
  return std::min(m_Query.Deadline, m_RerouteTimers.begin()->first);
}

QueryActions QueryRun::start(TimePoint Now) {
  QueryActions Out;
  if (m_Query.Deadline <= Now) {
    finish(QueryNotRun{.Reason = SubReason::Deadline}, Out);
    return Out;
  }
  auto Pinned = m_Resources.Pinner.pin();
  if (!Pinned || Pinned.value()->Shards.empty()) {
    finish(QueryNotRun{.Reason = SubReason::NoSnapshot}, Out);
    return Out;
  }
  begin(Pinned.value(), Now, Out);
  concludeIfSettled(Now, Out);
  return Out;
}

/// Sends a subrequest for each shard of a newly pinned snapshot.
void QueryRun::begin(std::shared_ptr<const PinnedSnapshot> Pinned,
                     TimePoint Now, QueryActions &Out) {
  m_Pinned = std::move(Pinned);
  m_RerouteTimers.clear();
  m_Shards.clear();
  m_Shards.reserve(m_Pinned->Shards.size());
  m_Unsettled = m_Pinned->Shards.size();
  for (const PinnedShard &Shard : m_Pinned->Shards)
    addShard(Shard, Now, Out);
}

void QueryRun::addShard(const PinnedShard &Pinned, TimePoint Now,
                        QueryActions &Out) {
  std::size_t ShardIndex = m_Shards.size();
  ShardRun &Shard = m_Shards.emplace_back();
  Shard.Id = Pinned.Replicas.Shard;
  Shard.Routes =
      m_Resources.Routes->routesFor(m_Query.Service, Pinned.Replicas);
  if (!Pinned.Reachable) {
    failShard(Shard, SubReason::NoReplica);
  } else if (Shard.Routes.empty()) {
    failShard(Shard, SubReason::NoOwner);
  } else {
    m_Resources.Budget.countPrimary();
    sendNext(ShardIndex, Now, Out);
  }
}

/// Sends to the shard's next route. The caller of this function has charged the
/// budget.
void QueryRun::sendNext(std::size_t ShardIndex, TimePoint Now,
                        QueryActions &Out) {
  ShardRun &Shard = m_Shards[ShardIndex];
  CARAWAYPOND_INVARIANT(Now < m_Query.Deadline,
                        "a subrequest was sent to an owner past its deadline");
  CARAWAYPOND_INVARIANT(
      m_Query.Repeatable || m_Sends.noneMayHaveRun(Shard.Sends),
      "a subrequest that is not repeatable was sent to an owner again");
  const Route &To = Shard.Routes[Shard.NextRoute++];
  SubrequestId Id = m_Resources.Ids.next();
  Shard.Sends.push_back(Id);
  m_Sends.add(Id, Send{.Owner = To.Vm,
                       .Shard = Shard.Id,
                       .ShardIndex = ShardIndex,
                       .Round = m_Round,
                       .State = SendState::Outstanding});
  ++m_Counters.Sends;
  if (m_Query.Repeatable && Shard.NextRoute < Shard.Routes.size())
    armRerouteTimer(ShardIndex, Now + m_Options.OwnerTimeout);
  Out.push_back(SendSubrequest{.Owner = To.Vm,
                               .Request = {.Id = Id,
                                           .Service = m_Query.Service,
                                           .Class = m_Query.Class,
                                           .Shard = Shard.Id,
                                           .Replica = To.Replica,
                                           .Version = m_Pinned->Version,
                                           .Layout = m_Pinned->Layout,
                                           .Deadline = m_Query.Deadline,
                                           .Repeatable = m_Query.Repeatable,
                                           .Request = m_Query.Request}});
}

bool QueryRun::isPinned(const SubAnswered &Answer) const {
  return Answer.Version == m_Pinned->Version &&
         Answer.Layout == m_Pinned->Layout;
}

/// @return The send that the event is for, or nullptr if the event belongs to
/// another query.
QueryRun::Send *QueryRun::findSend(const SubrequestEnded &Event) {
  Send *Found = m_Sends.find(Event.Id);
  if (Found != nullptr && Found->Shard == Event.Shard)
    return Found;
  ++m_Counters.ForeignAnswers;
  if (isMutant(Mutant::AcceptAnyQuery))
    return m_Sends.findShard(Event.Shard, m_Round);
  return nullptr;
}

QueryActions QueryRun::onEnded(const SubrequestEnded &Event, TimePoint Now) {
  QueryActions Out;
  if (m_Finished) {
    ++m_Counters.LateAnswers;
    return Out;
  }
  Send *Sent = findSend(Event);
  if (Sent == nullptr)
    return Out;
  bool IsOpen = Sent->State == SendState::Outstanding ||
                Sent->State == SendState::InDoubt;
  if (!IsOpen) {
    ++m_Counters.LateAnswers;
    return Out;
  }
  std::visit(
      OutcomeVisitor{.Run = *this, .Sent = *Sent, .Now = Now, .Out = Out},
      Event.Outcome);
  concludeIfSettled(Now, Out);
  if (!m_Finished && m_Query.Deadline <= Now)
    finish(result(), Out);
  return Out;
}

QueryActions QueryRun::onOwnerLost(SubrequestId Id, bool MayHaveBeenSent,
                                   TimePoint Now) {
  QueryActions Out;
  Send *Sent = m_Sends.find(Id);
  if (m_Finished || Sent == nullptr || Sent->State != SendState::Outstanding)
    return Out;
  m_Sends.setState(*Sent,
                   MayHaveBeenSent ? SendState::InDoubt : SendState::NotRun);
  if (Sent->Round == m_Round)
    rerouteOrFail(Sent->ShardIndex,
                  MayHaveBeenSent ? SubReason::ConnectionLost
                                  : SubReason::NoOwner,
                  Now, Out);
  concludeIfSettled(Now, Out);
  return Out;
}

QueryActions QueryRun::tick(TimePoint Now) {
  QueryActions Out;
  if (m_Finished)
    return Out;
  if (m_Query.Deadline <= Now)
    finish(result(), Out);
  else
    rerouteSilentOwners(Now, Out);
  return Out;
}

QueryActions QueryRun::cancel(TimePoint /*Now*/) {
  QueryActions Out;
  if (!m_Finished)
    finish(result(), Out);
  return Out;
}

void QueryRun::accept(ShardRun &Shard, const SubAnswered &Answer,
                      QueryActions &Out) {
  if (Shard.Answer) {
    ++m_Counters.LateAnswers;
    return;
  }
  Shard.Answer = ShardAnswer{.Shard = Shard.Id,
                             .Version = Answer.Version,
                             .Layout = Answer.Layout,
                             .Payload = Answer.Payload};
  for (SubrequestId Id : Shard.Sends)
    cancelSend(Id, Out);
  settle(Shard);
}

bool QueryRun::mayReroute(const ShardRun &Shard, TimePoint Now) const {
  if (Shard.Answer || Shard.NextRoute >= Shard.Routes.size() ||
      m_Query.Deadline <= Now)
    return false;
  return m_Query.Repeatable || m_Sends.noneMayHaveRun(Shard.Sends);
}

void QueryRun::failShard(ShardRun &Shard, SubReason Reason) {
  if (Shard.Answer || m_Sends.anyOutstanding(Shard.Sends))
    return;
  Shard.Reason = Reason;
  settle(Shard);
}

void QueryRun::rerouteOrFail(std::size_t ShardIndex, SubReason Reason,
                             TimePoint Now, QueryActions &Out) {
  ShardRun &Shard = m_Shards[ShardIndex];
  bool IsReroute = !Shard.Settled && !m_Sends.anyOutstanding(Shard.Sends) &&
                   mayReroute(Shard, Now) && m_Resources.Budget.trySpend();
  if (!IsReroute) {
    failShard(Shard, Reason);
    return;
  }
  disarmRerouteTimer(ShardIndex);
  ++m_Counters.Reroutes;
  sendNext(ShardIndex, Now, Out);
}

void QueryRun::settle(ShardRun &Shard) {
  if (Shard.Settled)
    return;
  Shard.Settled = true;
  --m_Unsettled;
  disarmRerouteTimer(static_cast<std::size_t>(&Shard - m_Shards.data()));
}

void QueryRun::armRerouteTimer(std::size_t ShardIndex, TimePoint At) {
  disarmRerouteTimer(ShardIndex);
  m_Shards[ShardIndex].RerouteAt = At;
  m_RerouteTimers.emplace(At, ShardIndex);
}

void QueryRun::disarmRerouteTimer(std::size_t ShardIndex) {
  ShardRun &Shard = m_Shards[ShardIndex];
  if (Shard.RerouteAt)
    m_RerouteTimers.erase({*Shard.RerouteAt, ShardIndex});
  Shard.RerouteAt.reset();
}

void QueryRun::rerouteSilentOwners(TimePoint Now, QueryActions &Out) {
  while (!m_RerouteTimers.empty() && m_RerouteTimers.begin()->first <= Now) {
    std::size_t ShardIndex = m_RerouteTimers.begin()->second;
    disarmRerouteTimer(ShardIndex);
    if (!mayReroute(m_Shards[ShardIndex], Now) ||
        !m_Resources.Budget.trySpend())
      continue;
    ++m_Counters.Reroutes;
    sendNext(ShardIndex, Now, Out);
  }
}

/// Restarts the query on the snapshot that can be pinned now, if it differs
/// from the present one.
bool QueryRun::restart(TimePoint Now, QueryActions &Out) {
  bool IsAllowed = m_Query.Repeatable || m_Sends.possiblyRun() == 0;
  if (!IsAllowed || m_Counters.Restarts >= m_Options.MaxRestarts ||
      m_Query.Deadline <= Now)
    return false;
  auto Pinned = m_Resources.Pinner.pin();
  if (!Pinned || Pinned.value()->Shards.empty() ||
      Pinned.value()->isSameAs(*m_Pinned))
    return false;
  cancelOutstanding(Out);
  ++m_Counters.Restarts;
  ++m_Round;
  begin(Pinned.value(), Now, Out);
  return true;
}

void QueryRun::cancelSend(SubrequestId Id, QueryActions &Out) {
  const Send &Sent = m_Sends.at(Id);
  if (Sent.State == SendState::Outstanding)
    Out.push_back(CancelSubrequest{.Owner = Sent.Owner, .Id = Id});
}

void QueryRun::cancelOutstanding(QueryActions &Out) {
  for (const ShardRun &Shard : m_Shards)
    if (!Shard.Answer)
      for (SubrequestId Id : Shard.Sends)
        cancelSend(Id, Out);
}

void QueryRun::concludeIfSettled(TimePoint Now, QueryActions &Out) {
  if (m_Finished || m_Unsettled > 0)
    return;
  bool AnyGone =
      std::any_of(m_Shards.begin(), m_Shards.end(), [](const ShardRun &Shard) {
        return !Shard.Answer && Shard.Reason == SubReason::VersionGone;
      });
  if (AnyGone && restart(Now, Out)) {
    concludeIfSettled(Now, Out);
    return;
  }
  finish(result(), Out);
}

QueryResult QueryRun::result() const {
  QueryFinalState End{.Pinned = *m_Pinned,
                      .Answers = {},
                      .Missing = {},
                      .Repeatable = m_Query.Repeatable,
                      .PossiblyRun = m_Sends.possiblyRun()};
  for (const ShardRun &Shard : m_Shards) {
    if (Shard.Answer)
      End.Answers.push_back(*Shard.Answer);
    else if (!isMutant(Mutant::CoverageFromAnswers))
      End.Missing.push_back({.Shard = Shard.Id, .Reason = Shard.Reason});
  }
  return conclude(std::move(End));
}

void QueryRun::finish(QueryResult Result, QueryActions &Out) {
  m_Finished = true;
  cancelOutstanding(Out);
  Out.push_back(FinishQuery{.Result = std::move(Result)});
  m_RerouteTimers.clear();
}

} // namespace carawaypond

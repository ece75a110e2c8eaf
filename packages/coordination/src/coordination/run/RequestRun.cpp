#include "coordination/run/RequestRun.h"

#include "core/invariant/Invariant.h"

#include <algorithm>
#include <cmath>

namespace carawaypond {

namespace {

/// Attempts beyond MaxAttempts that are allowed after refusals.
constexpr std::size_t ExtraAttemptsAfterRefusal = 1;

bool isUnsent(AttemptResult How) {
  return How == AttemptResult::NeverSent || How == AttemptResult::Withdrawn;
}

bool isKnownNotRun(AttemptResult How) {
  return How == AttemptResult::NotRun || How == AttemptResult::Misplaced ||
         isUnsent(How);
}

} // namespace

RequestRun::RequestRun(RunPlan Plan, ReplicaFleet &Fleet, SubrequestId FirstId,
                       const RunOptions &Options, TimePoint ReceivedAt)
    : m_Plan(std::move(Plan)), m_Fleet(Fleet), m_Options(Options),
      m_Latency(Fleet.latency(*m_Plan.Chosen)), m_StartedAt(ReceivedAt),
      m_NextId(FirstId.value()) {
  const RequestRoute &Chosen = *m_Plan.Chosen;
  m_ObjectiveAt = ReceivedAt + Chosen.Objective - m_Plan.AlreadyWaited -
                  m_Options.CallerAllowance;
  m_Deadline =
      ReceivedAt +
      std::max(m_Plan.timeout() - m_Options.AnswerAllowance, Milliseconds(1));
  m_Targets.reserve(m_Plan.Services.size());
  for (const ServiceName &Each : m_Plan.Services)
    m_Targets.push_back({.Service = Each});
}

bool RequestRun::isScatterGather() const {
  return std::holds_alternative<ShardSetTarget>(route().Target);
}

bool RequestRun::isRouteIdempotent() const {
  return route().Kind == RequestKind::Idempotent;
}

std::size_t RequestRun::maxAttempts() const {
  return m_Targets.size() * (route().MaxAttempts + ExtraAttemptsAfterRefusal);
}

std::size_t RequestRun::outstanding(const Target &Of) const {
  return static_cast<std::size_t>(
      std::count_if(Of.Attempts.begin(), Of.Attempts.end(),
                    [](const Attempt &Each) { return !Each.Ended; }));
}

bool RequestRun::isDone() const {
  return m_IsAnswered &&
         std::all_of(m_Targets.begin(), m_Targets.end(),
                     [this](const auto &T) { return outstanding(T) == 0; });
}

bool RequestRun::mayHaveRun() const {
  for (const Target &Each : m_Targets)
    for (const Attempt &Made : Each.Attempts)
      if (!Made.Ended || !isKnownNotRun(*Made.Ended))
        return true;
  return false;
}

bool RequestRun::mayHaveArrived(const Target &At) {
  return std::any_of(At.Attempts.begin(), At.Attempts.end(),
                     [](const Attempt &Each) {
                       return !Each.Ended || !isUnsent(*Each.Ended);
                     });
}

bool RequestRun::maySendAgain(const Target &Of) const {
  std::size_t Run = 0;
  for (const Attempt &Each : Of.Attempts)
    if (!Each.Ended || !isKnownNotRun(*Each.Ended))
      ++Run;
  if (Run > 0 && !isRouteIdempotent())
    return false;
  return Run < route().MaxAttempts &&
         Of.Attempts.size() < route().MaxAttempts + ExtraAttemptsAfterRefusal;
}

bool RequestRun::isUsable(const Target &Of, const Attempt &Made,
                          TimePoint Now) const {
  const ReplicaTracker *Gauge = m_Fleet.service(Of.Service).find(Made.Replica);
  return Gauge != nullptr && Gauge->isUsable(Now);
}

bool RequestRun::maySend(SubrequestId Id, TimePoint Now) const {
  if (m_IsAnswered || !m_MaySend || Now >= m_Deadline)
    return false;
  for (const Target &Each : m_Targets)
    for (const Attempt &Made : Each.Attempts)
      if (Made.Id == Id)
        return !Made.Ended && !Each.Served && isUsable(Each, Made, Now);
  return false;
}

std::vector<ServerName> RequestRun::usedReplicas(const Target &Of) const {
  std::vector<ServerName> Used;
  for (const Attempt &Each : Of.Attempts)
    Used.push_back(Each.Replica);
  return Used;
}

std::size_t RequestRun::servedCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Targets.begin(), m_Targets.end(),
                    [](const Target &Each) { return Each.Served; }));
}

bool RequestRun::hasLeastShare() const {
  const auto *Shards = std::get_if<ShardSetTarget>(&route().Target);
  std::size_t Served = servedCount();
  if (Shards == nullptr || Served == 0)
    return Served > 0;
  double Share =
      static_cast<double>(Served) / static_cast<double>(m_Targets.size());
  return Share >= Shards->LeastShare;
}

bool RequestRun::allTargetsSettled() const {
  return std::all_of(m_Targets.begin(), m_Targets.end(),
                     [](const Target &T) { return T.Served || T.IsGivenUp; });
}

RunActions RequestRun::start(TimePoint Now) {
  RunActions Out;
  for (Target &Each : m_Targets) {
    std::optional<Duration> Wait = leastWait(Each, Now);
    Each.IsBusy = Wait && Now + *Wait >= m_Deadline;
    Each.IsGivenUp = !Wait || Each.IsBusy;
  }
  if (canSucceed())
    for (Target &Each : m_Targets)
      if (!Each.IsGivenUp)
        sendFirst(Each, Out, Now);
  decide(Out, Now);
  return Out;
}

std::optional<Duration> RequestRun::leastWait(const Target &Of,
                                              TimePoint Now) const {
  std::optional<Duration> Least;
  for (const auto &[Id, Gauge] : m_Fleet.service(Of.Service).replicas()) {
    if (!Gauge.acceptsRequest(Now))
      continue;
    Duration Wait =
        Gauge.expectedWait(m_Latency.median(), m_Fleet.options(), Now);
    Least = std::min(Least.value_or(Wait), Wait);
  }
  return Least;
}

bool RequestRun::canSucceed() const {
  auto Open = std::count_if(m_Targets.begin(), m_Targets.end(),
                            [](const Target &T) { return !T.IsGivenUp; });
  const auto *Shards = std::get_if<ShardSetTarget>(&route().Target);
  if (Shards == nullptr || Open == 0)
    return Open > 0;
  double Share =
      static_cast<double>(Open) / static_cast<double>(m_Targets.size());
  return Share >= Shards->LeastShare;
}

void RequestRun::sendFirst(Target &To, RunActions &Out, TimePoint Now) {
  ServiceFleet &Service = m_Fleet.service(To.Service);
  ReplicaTracker *Replica = Service.cheapest({}, m_Fleet.options(), Now);
  if (Replica == nullptr)
    return;
  Service.budget().countRequest(Now);
  send(To, *Replica, AttemptReason::First, Out, Now);
}

void RequestRun::send(Target &To, ReplicaTracker &Replica, AttemptReason Why,
                      RunActions &Out, TimePoint Now) {
  SubrequestId Id(m_NextId++);
  double Cost = Replica.cost(m_Fleet.options(), Now);
  m_Fleet.service(To.Service).countSent(Replica, m_Fleet.options(), Now);
  Replica.onSent(Id, m_Latency.median(), Now);
  To.Attempts.push_back({.Id = Id,
                         .Replica = Replica.record().Id,
                         .SentAt = Now,
                         .Ended = {},
                         .ChargedAt = {}});
  Out.push_back(StartAttempt{.Id = Id,
                             .Service = To.Service,
                             .Replica = Replica.record().Id,
                             .Why = Why,
                             .Cost = Cost});
}

bool RequestRun::sendExtra(Target &To, AttemptReason Why, RunActions &Out,
                           TimePoint Now) {
  if (!m_MaySend || !maySendAgain(To) || Now >= m_Deadline)
    return false;
  ServiceFleet &Service = m_Fleet.service(To.Service);
  ReplicaTracker *Replica =
      Service.cheapest(usedReplicas(To), m_Fleet.options(), Now);
  bool MayReuse = outstanding(To) == 0;
  if (Replica == nullptr && MayReuse)
    Replica = Service.cheapest({}, m_Fleet.options(), Now);
  if (Replica == nullptr)
    return false;
  bool IsHedge = Why != AttemptReason::Retry;
  if (IsHedge && !Replica->hasRoom(Now, m_Options.HedgeLimitReserve))
    return false;
  double Reserve = IsHedge ? m_Options.HedgeReserve : 0;
  bool IsExtra = mayHaveArrived(To);
  if (IsExtra && isLimited())
    return false;
  if (IsExtra && !Service.budget().trySpend(m_Fleet.share(), Reserve, Now)) {
    m_WasBudgetExhausted = true;
    return false;
  }
  send(To, *Replica, Why, Out, Now);
  if (IsExtra)
    To.Attempts.back().ChargedAt = Now;
  return true;
}

RunActions RequestRun::onEnded(SubrequestId Id, AttemptResult How,
                               TimePoint Now) {
  RunActions Out;
  for (Target &Each : m_Targets) {
    auto Found = std::find_if(Each.Attempts.begin(), Each.Attempts.end(),
                              [Id](const Attempt &A) { return A.Id == Id; });
    if (Found == Each.Attempts.end() || Found->Ended)
      continue;
    Found->Ended = How;
    if (isUnsent(How) && Found->ChargedAt)
      m_Fleet.service(Each.Service).budget().giveBack(*Found->ChargedAt);
    ReplicaTracker *Gauge = m_Fleet.service(Each.Service).find(Found->Replica);
    if (Gauge != nullptr)
      if (auto Normal = Gauge->onEnded(Id, How, m_Fleet.options(), Now))
        m_Latency.add(*Normal);
    if (How == AttemptResult::Served && !Each.Served)
      Each.Served = Id;
    if (How == AttemptResult::ServerFailed)
      Each.Failed = Id;
    if (m_IsAnswered || Each.Served || outstanding(Each) > 0)
      continue;
    if (!sendExtra(Each, AttemptReason::Retry, Out, Now))
      Each.IsGivenUp = true;
  }
  decide(Out, Now);
  return Out;
}

bool RequestRun::isLimited() const {
  return m_Plan.Limit != nullptr && m_Plan.Limit->isInForce();
}

std::size_t RequestRun::allowedMissing() const {
  const auto *Shards = std::get_if<ShardSetTarget>(&route().Target);
  if (Shards == nullptr)
    return 0;
  auto Count = static_cast<double>(m_Targets.size());
  double Least = std::ceil(Count * Shards->LeastShare);
  return m_Targets.size() -
         static_cast<std::size_t>(std::clamp(Least, 1.0, Count));
}

LoadSample RequestRun::measureLoad() const {
  LoadSample Sample{.AllowedMissing = allowedMissing(),
                    .StartedAt = m_StartedAt};
  for (const Target &Each : m_Targets) {
    if (Each.Served)
      continue;
    bool IsRejected = std::any_of(Each.Attempts.begin(), Each.Attempts.end(),
                                  [](const Attempt &Made) {
                                    return Made.Ended == AttemptResult::NotRun;
                                  });
    if (IsRejected)
      ++Sample.Rejected;
    else if (Each.IsBusy || outstanding(Each) > 0)
      ++Sample.Late;
  }
  return Sample;
}

bool RequestRun::isHedgeDue(const Target &Of, TimePoint Now) const {
  const Attempt &Newest = Of.Attempts.back();
  Duration Age = Now - Newest.SentAt;
  Duration Delay =
      std::max<Duration>(m_Latency.high(), m_Options.MinHedgeDelay);
  return Age >= Delay;
}

void RequestRun::hedge(RunActions &Out, TimePoint Now) {
  for (Target &Each : m_Targets) {
    if (Each.Served || Each.IsGivenUp || outstanding(Each) != 1)
      continue;
    const Attempt &Newest = Each.Attempts.back();
    ReplicaTracker *Gauge = m_Fleet.service(Each.Service).find(Newest.Replica);
    bool IsStalled =
        Gauge == nullptr || Gauge->isStalled(m_Fleet.options(), Now);
    if (IsStalled)
      sendExtra(Each, AttemptReason::Stalled, Out, Now);
    else if (isHedgeDue(Each, Now))
      sendExtra(Each, AttemptReason::Late, Out, Now);
  }
}

TimePoint RequestRun::nextTick(TimePoint Now) const {
  if (m_IsAnswered)
    return TimePoint::max();
  TimePoint Next = Now + m_Options.Tick;
  if (!isRouteIdempotent() || Now > m_ObjectiveAt)
    Next = Now + m_Options.Tick * 4;
  if (Now < m_ObjectiveAt)
    Next = std::min(Next, m_ObjectiveAt);
  return std::min(Next, m_Deadline);
}

RunActions RequestRun::onTick(TimePoint Now) {
  RunActions Out;
  if (m_IsAnswered)
    return Out;
  if (isRouteIdempotent())
    hedge(Out, Now);
  decide(Out, Now);
  return Out;
}

RunActions RequestRun::onCallerGone(TimePoint) {
  RunActions Out;
  if (m_IsAnswered)
    return Out;
  m_IsAnswered = true;
  for (const Target &Each : m_Targets)
    for (const Attempt &Made : Each.Attempts)
      if (!Made.Ended)
        Out.push_back(AbandonAttempt{.Id = Made.Id, .Grace = Duration(0)});
  return Out;
}

RunActions RequestRun::onStopping(TimePoint Now) {
  RunActions Out;
  if (m_IsAnswered)
    return Out;
  if (isScatterGather() && hasLeastShare())
    answerParts(Out, Now);
  else if (mayHaveRun())
    finish(FailRequest{.Why = FailureReason::Leaving}, Duration(0), Out);
  else
    refuse(RefusalReason::Leaving, Duration(0), Out, Now);
  return Out;
}

void RequestRun::decide(RunActions &Out, TimePoint Now) {
  if (m_IsAnswered)
    return;
  if (!isScatterGather()) {
    const Target &Only = m_Targets.front();
    if (Only.Served) {
      m_Fleet.retryAdvice(route()).onServed(Now);
      return finish(RelayReply{.Attempt = *Only.Served}, m_Options.LoserGrace,
                    Out);
    }
    if (Only.IsGivenUp || Now >= m_Deadline)
      answerFailure(Out, Now);
    return;
  }
  if (!canSucceed())
    return answerFailure(Out, Now);
  if (allTargetsSettled() || Now >= m_Deadline)
    return hasLeastShare() ? answerParts(Out, Now) : answerFailure(Out, Now);
  if (Now < m_ObjectiveAt || !hasLeastShare())
    return;
  auto LateWait = std::chrono::duration_cast<Duration>(
      (m_Deadline - m_ObjectiveAt) * m_Options.LateWaitShare);
  bool IsAtObjective = Now < m_ObjectiveAt + m_Options.CallerAllowance / 2;
  if (IsAtObjective || Now >= m_ObjectiveAt + LateWait)
    answerParts(Out, Now);
}

void RequestRun::answerParts(RunActions &Out, TimePoint Now) {
  m_Fleet.retryAdvice(route()).onServed(Now);
  AnswerParts Answer;
  for (const Target &Each : m_Targets) {
    if (Each.Served)
      Answer.Parts.push_back(*Each.Served);
    else
      ++Answer.Missing;
  }
  Answer.TopRecords = std::get<ShardSetTarget>(route().Target).TopRecords;
  CARAWAYPOND_INVARIANT(!Answer.Parts.empty(),
                        "an answer has no shard's records");
  // If shards are missing, cancel their attempts at once: replicas that are
  // late should not spend capacity on answers that are no longer needed.
  Duration Grace = Answer.Missing > 0 ? Duration(0) : m_Options.LoserGrace;
  finish(std::move(Answer), Grace, Out);
}

void RequestRun::refuseForReplicas(RunActions &Out, TimePoint Now) {
  RefusalReason Why = RefusalReason::ReplicasBusy;
  Duration Longest{};
  for (const Target &Each : m_Targets) {
    std::optional<Duration> Wait = leastWait(Each, Now);
    if (!Wait)
      Wait = m_Fleet.service(Each.Service).leastPause(Now);
    if (!Wait)
      Why = RefusalReason::NoReplica;
    Longest = std::max(Longest, Wait.value_or(Duration(0)));
  }
  refuse(Why, Longest, Out, Now);
}

void RequestRun::refuse(RefusalReason Why, Duration Wait, RunActions &Out,
                        TimePoint Now) {
  auto Left = m_Plan.CallerTimeout -
              std::chrono::duration_cast<Milliseconds>(Now - m_StartedAt);
  Milliseconds RetryAfter =
      m_Fleet.retryAdvice(route()).retryAfter(Why, Left, Wait, Now);
  finish(RefuseRequest{.Why = Why, .RetryAfter = RetryAfter}, Duration(0), Out);
}

void RequestRun::answerFailure(RunActions &Out, TimePoint Now) {
  if (!mayHaveRun())
    return refuseForReplicas(Out, Now);
  if (!isScatterGather() && m_Targets.front().Failed)
    return finish(RelayReply{.Attempt = *m_Targets.front().Failed},
                  m_Options.LoserGrace, Out);
  FailureReason Why = FailureReason::ReplicaLost;
  if (Now >= m_Deadline)
    Why = FailureReason::TimedOut;
  else if (isScatterGather())
    Why = FailureReason::TooFewShards;
  finish(FailRequest{.Why = Why}, Duration(0), Out);
}

void RequestRun::finish(RunAction Answer, Duration Grace, RunActions &Out) {
  CARAWAYPOND_INVARIANT(!m_IsAnswered, "a request was answered twice");
  m_IsAnswered = true;
  m_LoadSample = measureLoad();
  Out.push_back(std::move(Answer));
  for (const Target &Each : m_Targets)
    for (const Attempt &Made : Each.Attempts)
      if (!Made.Ended)
        Out.push_back(AbandonAttempt{.Id = Made.Id, .Grace = Grace});
}

} // namespace carawaypond

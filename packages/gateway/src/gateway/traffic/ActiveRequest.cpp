#include "gateway/traffic/ActiveRequest.h"

#include "adapter/ReplyCodec.h"
#include "adapter/RequestCodec.h"
#include "coordination/records/GreatestRecords.h"
#include "gateway/traffic/RequestContent.h"
#include "gateway/traffic/RequestLog.h"
#include "http/ErrorResponse.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawaypond::gateway {

using boost::asio::awaitable;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Size up to which a shard's records are kept as they are until the answer.
constexpr std::size_t MaxUnsortedBytes = std::size_t{4} << 10;
constexpr unsigned FirstError = 300;
constexpr unsigned BadGateway = 502;
constexpr unsigned GatewayTimeout = 504;

AttemptResult classify(const adapter::ReplicaReply &Reply) {
  constexpr unsigned Misdirected = 421;
  if (Reply.Status == Misdirected)
    return AttemptResult::Misplaced;
  if (Reply.IsNotRun)
    return AttemptResult::NotRun;
  bool IsWhole = !Reply.Signature.empty() && !Reply.IsEncoded;
  if (!IsWhole)
    return AttemptResult::Lost;
  return Reply.Status < FirstError ? AttemptResult::Served
                                   : AttemptResult::ServerFailed;
}

AttemptResult resultOf(const ExchangeFailure &Failure) {
  if (Failure.IsWithdrawn)
    return AttemptResult::Withdrawn;
  return Failure.WasSent ? AttemptResult::Lost : AttemptResult::NeverSent;
}

} // namespace

ActiveRequest::ActiveRequest(SharedResources Parts,
                             adapter::CallerRequest Asked, RunPlan Plan,
                             SubrequestId FirstId, const RunOptions &Options)
    : m_Shared(Parts), m_Asked(std::move(Asked)),
      m_Run(std::move(Plan), Parts.Fleet, FirstId, Options, m_Asked.ReceivedAt),
      m_Timer(Parts.Context), m_Answered(Parts.Context) {
  m_Attempts.reserve(m_Run.plan().Services.size() + 2);
}

awaitable<http::Response> ActiveRequest::run() {
  auto Self = shared_from_this();
  m_Answered.expires_at(TimePoint::max());
  if (m_Asked.Caller)
    m_Asked.Caller->onClosed([Self] { Self->onCallerGone(); });
  apply(m_Run.start(monotonicNow()));
  schedule();
  while (!m_Answer)
    co_await m_Answered.async_wait(AsTuple);
  co_return std::move(*m_Answer);
}

AttemptState *ActiveRequest::find(SubrequestId Id) {
  for (AttemptState &Each : m_Attempts)
    if (Each.Started.Id == Id)
      return &Each;
  return nullptr;
}

void ActiveRequest::apply(const RunActions &Actions) {
  for (const RunAction &Each : Actions)
    std::visit([this](const auto &Action) { apply(Action); }, Each);
}

void ActiveRequest::apply(const StartAttempt &Action) {
  TimePoint Now = monotonicNow();
  ++m_Shared.Counters.Attempts;
  if (Action.isExtra())
    ++m_Shared.Counters.ExtraAttempts;
  if (m_Shared.Fleet.options().Shares)
    m_Shared.Counters.ByReplica.add(Action.Service, Action.Replica);
  m_Attempts.push_back({.Started = Action,
                        .Pool = m_Shared.Links.find(Action.Replica),
                        .SentAt = Now,
                        .Connection = {},
                        .WrittenAt = {},
                        .EndedAt = {},
                        .Ended = {},
                        .Reply = {},
                        .ErrorText = {}});
  Exchange Request;
  Request.RequestId = m_Asked.Id;
  Request.IsHead = m_Asked.IsHead;
  Request.IsIdempotent = m_Run.route().Kind == RequestKind::Idempotent;
  Request.MaySend = [Self = shared_from_this(), Id = Action.Id] {
    return Self->m_Run.maySend(Id, monotonicNow());
  };
  Request.Compose = [Self = shared_from_this(), Id = Action.Id](
                        ConnectionNumber On) { return Self->compose(Id, On); };
  Request.Done = [Self = shared_from_this(),
                  Id = Action.Id](ExchangeResult How) {
    Self->onExchange(Id, std::move(How));
  };
  auto Pool = m_Attempts.back().Pool;
  if (!Pool)
    return end(Action.Id, AttemptResult::NeverSent);
  std::uint64_t Before = Pool->opened();
  ReplicaPool::Ticket Ticket = Pool->send(std::move(Request));
  m_Shared.Counters.Connections += Pool->opened() - Before;
  if (AttemptState *Sent = find(Action.Id))
    Sent->Ticket = Ticket;
}

void ActiveRequest::apply(const AbandonAttempt &Action) {
  AttemptState *Given = find(Action.Id);
  if (Given != nullptr)
    Given->AbandonAt = monotonicNow() + Action.Grace;
}

void ActiveRequest::apply(const AnswerParts &Action) {
  GreatestRecords Records(Action.TopRecords);
  std::vector<std::string_view> Signatures;
  for (SubrequestId Part : Action.Parts) {
    const AttemptState *Attempt = find(Part);
    Records.add(Attempt->Reply->Body);
    Signatures.push_back(Attempt->Reply->Signature);
  }
  ++(Action.Missing == 0 ? m_Shared.Counters.Complete
                         : m_Shared.Counters.Partial);
  if (Action.Missing > 0)
    logOutcome("partial", "shards_late");
  else
    recordSuccess();
  answer(adapter::encodeGathered(Signatures, Action.Missing, Records.take()));
}

void ActiveRequest::apply(const RelayReply &Action) {
  adapter::ReplicaReply Reply = std::move(*find(Action.Attempt)->Reply);
  bool IsSuccess = Reply.Status < FirstError;
  ++(IsSuccess ? m_Shared.Counters.Complete
               : m_Shared.Counters.ReplicaFailures);
  if (IsSuccess)
    recordSuccess();
  else
    logOutcome("replica_failure", std::to_string(Reply.Status));
  answer(adapter::encodeRelayed(std::move(Reply)));
}

void ActiveRequest::apply(const RefuseRequest &Action) {
  ++m_Shared.Counters.Refused;
  logOutcome("not_run", nameOf(Action.Why));
  answer(adapter::encodeRefusal(nameOf(Action.Why), Action.RetryAfter));
}

void ActiveRequest::apply(const FailRequest &Action) {
  ++m_Shared.Counters.Failed;
  logOutcome("failed", nameOf(Action.Why));
  unsigned Status =
      Action.Why == FailureReason::TimedOut ? GatewayTimeout : BadGateway;
  answer(http::errorResponse(Status, "unknown", nameOf(Action.Why),
                             "the request may have run"));
}

adapter::EncodedSubrequest ActiveRequest::compose(SubrequestId Id,
                                                  ConnectionNumber On) {
  AttemptState &Attempt = *find(Id);
  TimePoint Now = monotonicNow();
  Attempt.Connection = On;
  Attempt.WrittenAt = Now;
  Attempt.TimeGiven = m_Run.timeLeft(Now);
  return adapter::encodeSubrequest(m_Asked, Attempt.Started.Replica,
                                   Attempt.TimeGiven);
}

void ActiveRequest::onNotice(const AttemptState &Attempt,
                             const ReplicaNotice &Told) {
  const ServerName &Replica = Attempt.Started.Replica;
  if (!m_Shared.Fleet.onNotice(Replica, Told, monotonicNow()))
    return;
  m_Shared.Log.write(describeNotice(Replica, Told));
  if (Attempt.Pool)
    Attempt.Pool->recheckQueue();
}

void ActiveRequest::onExchange(SubrequestId Id, ExchangeResult How) {
  AttemptState *Attempt = find(Id);
  if (auto *Failure = std::get_if<ExchangeFailure>(&How)) {
    Attempt->ErrorText = Failure->Why;
    if (Failure->IsOverWork)
      onOverWork(*Attempt);
    if (Failure->IsConnectionLost)
      checkLiveness(*Attempt);
    return end(Id, resultOf(*Failure));
  }
  Attempt->Reply = std::move(std::get<adapter::ReplicaReply>(How));
  onNotice(*Attempt, Attempt->Reply->Notice);
  shorten(*Attempt->Reply);
  end(Id, classify(*Attempt->Reply));
}

void ActiveRequest::checkLiveness(const AttemptState &Attempt) {
  if (!Attempt.Pool)
    return;
  const ServerName &Replica = Attempt.Started.Replica;
  const ReplicaTracker *Gauge =
      m_Shared.Fleet.service(Attempt.Started.Service).find(Replica);
  std::int64_t StartedAt = Gauge == nullptr ? 0 : Gauge->record().StartedAt;
  m_Shared.Liveness.check(
      Attempt.Pool->remote(),
      [Self = shared_from_this(), Replica, StartedAt, At = monotonicNow()] {
        Self->onReplicaEnded(Replica, StartedAt, At);
      });
}

bool ActiveRequest::wasSurvived() const {
  return std::any_of(m_Attempts.begin(), m_Attempts.end(),
                     [](const AttemptState &Each) {
                       return Each.Ended == AttemptResult::Served ||
                              Each.Ended == AttemptResult::ServerFailed;
                     });
}

void ActiveRequest::onReplicaEnded(const ServerName &Replica,
                                   std::int64_t StartedAt, TimePoint At) {
  ++m_Shared.Counters.ReplicasEnded;
  if (wasSurvived())
    return;
  m_Shared.Log.write(describeEnd(Replica, m_Asked, m_Run.route().Name));
  ContentHash Content = contentOf(m_Asked);
  TimePoint Now = monotonicNow();
  bool BeginsQuarantine =
      m_Shared.Quarantine.onCrash(Content, hashOfReplica(Replica, StartedAt),
                                  hashOfRequest(m_Asked.Id), At, Now);
  if (m_Shared.Quarantine.holds(Content, Now))
    m_Run.stopSending();
  if (BeginsQuarantine) {
    LogLine Line("request_quarantined");
    Line.add("content", Content.value());
    Line.add("route", m_Run.route().Name);
    m_Shared.Log.write(Line);
  }
  m_Shared.OnReplicaEnded(BeginsQuarantine);
}

void ActiveRequest::onOverWork(const AttemptState &Attempt) {
  ++m_Shared.Counters.AttemptsOverWork;
  if (Attempt.Pool && Attempt.Pool->noteOverWork(monotonicNow()))
    m_Shared.Log.write(describeOverWork(Attempt.Started.Replica));
}

void ActiveRequest::shorten(adapter::ReplicaReply &Reply) const {
  const auto *Shards = std::get_if<ShardSetTarget>(&m_Run.route().Target);
  if (Shards == nullptr)
    return;
  Reply.Headers = {};
  Reply.Reservation.reset();
  if (Reply.Body.size() <= MaxUnsortedBytes)
    return;
  GreatestRecords Records(Shards->TopRecords);
  Records.add(Reply.Body);
  Reply.Body = Records.take();
}

void ActiveRequest::end(SubrequestId Id, AttemptResult How) {
  AttemptState *Attempt = find(Id);
  TimePoint Now = monotonicNow();
  Attempt->Ended = How;
  Attempt->EndedAt = Now;
  if (How == AttemptResult::Served)
    m_Shared.Latencies.addAttempt(Attempt->Started.Service,
                                  Now - Attempt->SentAt);
  if (How == AttemptResult::NotRun)
    ++m_Shared.Counters.AttemptsRefused;
  if (How == AttemptResult::Withdrawn)
    ++m_Shared.Counters.AttemptsWithdrawn;
  if (How == AttemptResult::Lost)
    ++m_Shared.Counters.AttemptsLost;
  if (How == AttemptResult::Abandoned)
    ++m_Shared.Counters.AttemptsAbandoned;
  bool IsSurvived =
      How == AttemptResult::Served || How == AttemptResult::ServerFailed;
  if (IsSurvived && !m_Shared.Quarantine.isEmpty())
    m_Shared.Quarantine.onSurvived(contentOf(m_Asked), Now);
  apply(m_Run.onEnded(Id, How, Now));
}

void ActiveRequest::abandonExpired(TimePoint Now) {
  for (std::size_t I = 0; I < m_Attempts.size(); ++I) {
    AttemptState &Each = m_Attempts[I];
    if (Each.Ended || Now < Each.AbandonAt)
      continue;
    if (Each.Pool)
      Each.Pool->cancel(Each.Ticket);
    end(Each.Started.Id, AttemptResult::Abandoned);
  }
}

void ActiveRequest::onCallerGone() {
  if (m_Answer)
    return;
  ++m_Shared.Counters.CallersGone;
  logOutcome("caller_gone", "connection_closed");
  apply(m_Run.onCallerGone(monotonicNow()));
  answer(http::errorResponse(BadGateway, "unknown", "caller_gone",
                             "the caller closed its connection"));
  onTimer();
}

void ActiveRequest::stop() {
  if (m_Answer)
    return;
  apply(m_Run.onStopping(monotonicNow()));
  onTimer();
}

void ActiveRequest::answer(http::Response Response) {
  m_Answer = std::move(Response);
  m_Answered.cancel();
}

void ActiveRequest::schedule() {
  TimePoint Now = monotonicNow();
  TimePoint Next = m_Run.nextTick(Now);
  for (const AttemptState &Each : m_Attempts)
    if (!Each.Ended)
      Next = std::min(Next, Each.AbandonAt);
  if (m_Run.isDone() || Next == TimePoint::max())
    return;
  m_Timer.expires_at(Next);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Stopped) {
        if (!Stopped)
          Self->onTimer();
      });
}

void ActiveRequest::onTimer() {
  TimePoint Now = monotonicNow();
  apply(m_Run.onTick(Now));
  abandonExpired(Now);
  schedule();
}

void ActiveRequest::recordSuccess() {
  TimePoint Now = monotonicNow();
  m_Shared.Latencies.addAnswer(m_Run.route().Name, Now - m_Asked.ReceivedAt);
  if (!m_Run.meetsObjective(Now))
    logOutcome("served", "late");
  else if (isSampled(m_Asked.Id))
    logOutcome("served", "sampled");
}

void ActiveRequest::logOutcome(std::string_view Outcome,
                               std::string_view Reason) {
  m_Shared.Log.write(describeRequest(m_Asked, m_Run, m_Attempts,
                                     {.Outcome = Outcome,
                                      .Reason = Reason,
                                      .ArrivedAt = m_Asked.ReceivedAt,
                                      .Now = monotonicNow()}));
}

} // namespace carawaypond::gateway

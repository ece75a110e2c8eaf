#include "daemon/traffic/OwnerRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

/// How long an expected wait is cached before it is computed again.
constexpr Milliseconds WaitSampleLifetime{5};
/// How long after its deadline the answer to an attempt is still read, so that
/// its connection can be reused.
constexpr Milliseconds AnswerGrace{50};

std::vector<VersionRange> servedRange(const Subrequest &Request,
                                      const backend::SearchRefused &Refused) {
  if (!Refused.Oldest || !Refused.Newest)
    return {};
  return {{.Layout = Request.Layout,
           .Oldest = *Refused.Oldest,
           .Newest = *Refused.Newest}};
}

/// @return The replicas of the request's shard in its layout; nullptr if the
/// layout or the shard is unknown.
const ShardReplicas *findShard(const IndexObject &Index,
                               const Subrequest &Request) {
  const IndexLayout *Layout = Index.findLayout(Request.Layout);
  if (!Layout)
    return nullptr;
  auto Found = std::find_if(
      Layout->Shards.begin(), Layout->Shards.end(),
      [&](const ShardReplicas &S) { return S.Shard == Request.Shard; });
  return Found == Layout->Shards.end() ? nullptr : &*Found;
}

} // namespace

/// @brief Executes one action returned by the queues.
struct OwnerRunner::ActionVisitor {
  OwnerRunner &Runner;

  void operator()(SendAttempt &Send) const {
    asio::co_spawn(Runner.m_Context.Io, Runner.run(std::move(Send)),
                   asio::detached);
  }
  void operator()(CancelAttempt &Cancel) const {
    Runner.m_Fleet.cancel(Cancel.Server, Runner.wireId(Cancel.Attempt));
  }
  void operator()(CompleteSubrequest &Complete) const {
    Runner.complete(Complete.Id, std::move(Complete.Outcome));
  }
};

/// @brief Reports the outcome of one attempt to the queues.
struct OwnerRunner::OutcomeVisitor {
  OwnerQueues &Queues;
  const SendAttempt &Send;
  ReplicaVersionTracker &Board;
  TimePoint Now;

  QueueActions operator()(const backend::SearchAnswer &Answer) const {
    VersionRange Served{.Layout = Answer.Layout,
                        .Oldest = Answer.Oldest,
                        .Newest = Answer.Newest};
    Board.noteAnswer(Send.Server, Send.Request.Shard, Served, Now);
    auto Payload = std::make_shared<const std::string>(Answer.Records);
    return Queues.onAnswered(Send.Attempt,
                             {.Version = Answer.Version,
                              .Layout = Answer.Layout,
                              .Payload = std::move(Payload)},
                             Now);
  }
  QueueActions operator()(const backend::SearchRefused &Refused) const {
    SubReason Reason = parseSubReason(Refused.Reason).value_or(SubReason::Shed);
    return Queues.onRefused(Send.Attempt,
                            {.Reason = Reason,
                             .Ran = false,
                             .Served = servedRange(Send.Request, Refused)},
                            Now);
  }
  QueueActions operator()(const backend::SearchFailed &) const {
    return Queues.onRefused(Send.Attempt,
                            {.Reason = SubReason::Failed, .Ran = true}, Now);
  }
  QueueActions operator()(const backend::SearchInDoubt &) const {
    return Queues.onLost(Send.Attempt, Now);
  }
  QueueActions operator()(const backend::SearchNotSent &) const {
    return Queues.onRefused(
        Send.Attempt, {.Reason = SubReason::NotConnected, .Ran = false}, Now);
  }
};

OwnerRunner::OwnerRunner(TrafficContext &Context, ServiceTable &Services,
                         BackendFleet &Fleet)
    : m_Context(Context), m_Services(Services), m_Fleet(Fleet),
      m_Timer(Context.Io) {}

Duration OwnerRunner::expectedWait(const ServiceName &Service,
                                   const ClassName &Class, TimePoint Now) {
  auto Served = m_Served.find(Service);
  if (Served == m_Served.end())
    return Duration::zero();
  WaitSample &Sample = Served->second.Waits[Class];
  if (Now - Sample.At >= WaitSampleLifetime)
    Sample = {.At = Now, .Wait = m_Queues.expectedWait(Service, Class, Now)};
  return Sample.Wait;
}

std::string OwnerRunner::wireId(AttemptId Attempt) const {
  return m_Context.Config.Vm.value() + "." +
         std::to_string(m_Context.IncarnationNumber.value()) + "." +
         std::to_string(Attempt.value());
}

void OwnerRunner::enqueue(Subrequest Request, Completion Done) {
  auto Served = m_Served.find(Request.Service);
  if (Served == m_Served.end()) {
    Done(SubNotRun{.Reason = SubReason::NoOwner});
    return;
  }
  const ShardReplicas *Shard =
      findShard(Served->second.Runtime->index(), Request);
  if (!Shard) {
    Done(SubNotRun{.Reason = SubReason::WrongLayout});
    return;
  }
  m_Pending.emplace(Request.Id, std::move(Done));
  perform(
      m_Queues.enqueue(std::move(Request), Shard->Replicas, monotonicNow()));
}

void OwnerRunner::cancel(SubrequestId Id) {
  perform(m_Queues.cancel(Id, monotonicNow()));
}

void OwnerRunner::setSlots(const ServerName &Server, std::uint32_t Slots) {
  m_Queues.setSlots(Server, Slots);
}

void OwnerRunner::setState(const ServerName &Server, ServerState State) {
  perform(m_Queues.setState(Server, State, monotonicNow()));
}

void OwnerRunner::applyServices() {
  std::erase_if(m_Served, [&](const auto &Row) {
    bool IsCurrent = m_Services.find(Row.first) == Row.second.Runtime;
    return !IsCurrent && m_Queues.remove(Row.first);
  });
  for (const auto &[Name, Runtime] : m_Services.all()) {
    ServedService &Served = m_Served[Name];
    if (!Served.Runtime)
      Served.Runtime = Runtime;
    if (Served.Runtime != Runtime)
      continue; // A removed service of the same name still has attempts.
    m_Queues.configure(Name, Runtime->queueOptions(m_Context.Config.Policy),
                       Runtime->pinner().board());
    const std::vector<IndexLayout> &Layouts = Runtime->index().Layouts;
    if (!Layouts.empty())
      m_Queues.dropLayoutsBelow(Name, Layouts.front().Layout);
  }
}

void OwnerRunner::countAll() {
  QueueCounters Counted = m_Queues.totals();
  Metrics &Collected = m_Context.Collected;
  Collected.set("subrequests_sent_total", Counted.Sends);
  Collected.set("hedges_total", Counted.Hedges);
  Collected.set("retries_total", Counted.Retries);
  Collected.set("wrong_version_answers_total", Counted.WrongVersions);
  Collected.set("late_answers_total", Counted.LateEvents);
}

void OwnerRunner::perform(QueueActions Actions) {
  for (QueueAction &Action : Actions)
    std::visit(ActionVisitor{*this}, Action);
  armTimer();
}

void OwnerRunner::armTimer() {
  std::optional<TimePoint> Wake = m_Queues.nextWake();
  if (Wake == m_WakeAt)
    return;
  // An early wake-up is harmless: it arms the timer for the next one.
  bool IsArmedBefore = Wake && m_WakeAt && *m_WakeAt <= *Wake;
  if (!Wake || IsArmedBefore)
    return;
  m_WakeAt = Wake;
  m_Timer.expires_at(*Wake);
  m_Timer.async_wait([this](boost::system::error_code Failed) {
    if (Failed)
      return;
    m_WakeAt.reset();
    perform(m_Queues.tick(monotonicNow()));
  });
}

void OwnerRunner::complete(SubrequestId Id, SubOutcome Outcome) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  Completion Done = std::move(Found->second);
  m_Pending.erase(Found);
  Done(std::move(Outcome));
}

asio::awaitable<void> OwnerRunner::run(SendAttempt Send) {
  TimePoint Now = monotonicNow();
  const Subrequest &Request = Send.Request;
  backend::SearchRequest Search{.Id = wireId(Send.Attempt),
                                .Service = Request.Service,
                                .Shard = Request.Shard,
                                .Version = Request.Version,
                                .Layout = Request.Layout,
                                .WallDeadline =
                                    toWall(Request.Deadline, Now, wallNow()),
                                .Deadline = Request.Deadline + AnswerGrace,
                                .Repeatable = Request.Repeatable,
                                .Request = *Request.Request};
  m_Queues.onStarted(Send.Attempt, Now);
  backend::SearchOutcome Outcome =
      co_await m_Fleet.search(Send.Server, std::move(Search));
  finishAttempt(Send, Outcome);
}

void OwnerRunner::finishAttempt(const SendAttempt &Send,
                                const backend::SearchOutcome &Outcome) {
  // m_Served holds the service until its last attempt has ended, see
  // OwnerQueues::remove().
  ServedService &Served = m_Served.at(Send.Request.Service);
  OutcomeVisitor Report{.Queues = m_Queues,
                        .Send = Send,
                        .Board = Served.Runtime->pinner().board(),
                        .Now = monotonicNow()};
  perform(std::visit(Report, Outcome));
}

} // namespace carawaypond::daemon

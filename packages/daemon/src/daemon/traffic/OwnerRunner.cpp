#include "daemon/traffic/OwnerRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>

namespace carawaypond::daemon {

namespace asio = boost::asio;

namespace {

constexpr Duration NeverHedge = std::chrono::hours(24);
/// How long past its deadline an attempt's answer is still read, so that its
/// connection can be used again.
constexpr Milliseconds AnswerGrace{50};

std::vector<VersionRange> servedRange(const Subrequest &Request,
                                      const backend::SearchRefused &Refused) {
  if (!Refused.Oldest || !Refused.Newest)
    return {};
  return {{.Layout = Request.Layout,
           .Oldest = *Refused.Oldest,
           .Newest = *Refused.Newest}};
}

} // namespace

/// @brief Performs one decision of a queue.
struct OwnerRunner::ActionVisitor {
  OwnerRunner &Runner;
  const QueuePointer &Queue;

  void operator()(SendAttempt &Send) const {
    Runner.m_Context.Collected.count("subrequests_sent_total");
    asio::co_spawn(Runner.m_Context.Io, Runner.run(Queue, std::move(Send)),
                   asio::detached);
  }
  void operator()(CancelAttempt &Cancel) const {
    Runner.m_Fleet.cancel(Cancel.Server, Runner.wireId(Cancel.Attempt));
  }
  void operator()(CompleteSubrequest &Complete) const {
    Runner.complete(Complete.Id, std::move(Complete.Outcome));
  }
};

/// @brief Reports the end of one attempt to its queue.
struct OwnerRunner::OutcomeVisitor {
  ReplicaSetQueue &Queue;
  const SendAttempt &Send;
  VersionBoard &Board;
  TimePoint Now;

  QueueActions operator()(const backend::SearchAnswer &Answer) const {
    VersionRange Served{.Layout = Answer.Layout,
                        .Oldest = Answer.Oldest,
                        .Newest = Answer.Newest};
    Board.noteAnswer(Send.Server, Send.Request.Shard, Served, Now);
    auto Payload = std::make_shared<const std::string>(Answer.Records);
    return Queue.onAnswered(Send.Attempt,
                            {.Version = Answer.Version,
                             .Layout = Answer.Layout,
                             .Payload = std::move(Payload)},
                            Now);
  }
  QueueActions operator()(const backend::SearchRefused &Refused) const {
    SubReason Reason = reasonOfWord(Refused.Reason).value_or(SubReason::Shed);
    return Queue.onRefused(Send.Attempt,
                           {.Reason = Reason,
                            .Ran = false,
                            .Served = servedRange(Send.Request, Refused)},
                           Now);
  }
  QueueActions operator()(const backend::SearchFailed &) const {
    return Queue.onRefused(Send.Attempt,
                           {.Reason = SubReason::Failed, .Ran = true}, Now);
  }
  QueueActions operator()(const backend::SearchInDoubt &) const {
    return Queue.onLost(Send.Attempt, Now);
  }
  QueueActions operator()(const backend::SearchNotSent &) const {
    return Queue.onRefused(
        Send.Attempt, {.Reason = SubReason::NotConnected, .Ran = false}, Now);
  }
};

OwnerRunner::OwnerRunner(TrafficContext &Context, ServiceTable &Services,
                         BackendFleet &Fleet)
    : m_Context(Context), m_Services(Services), m_Fleet(Fleet) {}

Duration OwnerRunner::expectedWait(const ServiceName &Service,
                                   const ClassName &Class,
                                   TimePoint Now) const {
  Duration Longest{0};
  QueueKey First{.Service = Service};
  for (auto It = m_Queues.lower_bound(First);
       It != m_Queues.end() && It->first.Service == Service; ++It)
    Longest = std::max(Longest, It->second->Queue.expectedWait(Class, Now));
  return Longest;
}

std::string OwnerRunner::wireId(AttemptId Attempt) const {
  return m_Context.Config.Vm.value() + "." +
         std::to_string(m_Context.Life.value()) + "." +
         std::to_string(Attempt.value());
}

OwnerRunner::QueuePointer OwnerRunner::queueFor(const Subrequest &Request) {
  QueueKey Key{.Service = Request.Service,
               .Layout = Request.Layout,
               .Shard = Request.Shard,
               .Replica = Request.Replica};
  auto Found = m_Queues.find(Key);
  if (Found != m_Queues.end())
    return Found->second;
  std::shared_ptr<ServiceRuntime> Service = m_Services.find(Request.Service);
  if (!Service)
    return nullptr;
  const IndexLayout *Layout = Service->index().findLayout(Request.Layout);
  if (!Layout)
    return nullptr;
  auto Shard = std::find_if(
      Layout->Shards.begin(), Layout->Shards.end(),
      [&](const ShardReplicas &S) { return S.Shard == Request.Shard; });
  if (Shard == Layout->Shards.end())
    return nullptr;
  std::vector<ServerName> Replicas = Shard->Replicas;
  if (Request.Replica)
    Replicas = {*Request.Replica};
  return makeQueue(Key, std::move(Service), std::move(Replicas));
}

OwnerRunner::QueuePointer
OwnerRunner::makeQueue(const QueueKey &Key,
                       std::shared_ptr<ServiceRuntime> Service,
                       std::vector<ServerName> Replicas) {
  ReplicaSetQueueOptions Options{.Replicas = Replicas,
                                 .Classes = Service->shares(),
                                 .HedgeQuantile =
                                     Service->config().HedgeQuantile};
  if (!m_Context.Config.Policy.Hedge)
    Options.MinHedgeDelay = NeverHedge;
  QueueResources Resources{.Slots = m_Fleet.slots(),
                           .Scores = m_Fleet.scores(),
                           .Attempts = m_Attempts,
                           .Budget = Service->ownerBudget(),
                           .Latencies = Service->latencies(),
                           .Versions = Service->pinner().board()};
  QueuePointer Made(
      new OwnedQueue{.Key = Key,
                     .Service = std::move(Service),
                     .Replicas = std::move(Replicas),
                     .Queue = ReplicaSetQueue(std::move(Options), Resources),
                     .Timer = asio::steady_timer(m_Context.Io)});
  m_Queues.emplace(Key, Made);
  for (const ServerName &Server : Made->Replicas)
    m_ByServer.emplace(Server, Made);
  return Made;
}

void OwnerRunner::enqueue(Subrequest Request, Completion Done) {
  QueuePointer Queue = queueFor(Request);
  if (!Queue) {
    Done(SubNotRun{.Reason = SubReason::WrongLayout});
    return;
  }
  m_Pending.emplace(Request.Id,
                    Pending{.Done = std::move(Done), .Queue = Queue});
  perform(Queue, Queue->Queue.enqueue(std::move(Request), monotonicNow()));
}

void OwnerRunner::cancel(SubrequestId Id) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  QueuePointer Queue = Found->second.Queue.lock();
  if (Queue)
    perform(Queue, Queue->Queue.cancel(Id, monotonicNow()));
}

void OwnerRunner::onServerChanged(const ServerName &Server) {
  auto [First, Last] = m_ByServer.equal_range(Server);
  std::vector<QueuePointer> Affected;
  for (auto It = First; It != Last; ++It)
    if (QueuePointer Queue = It->second.lock())
      Affected.push_back(std::move(Queue));
  for (const QueuePointer &Queue : Affected)
    perform(Queue, Queue->Queue.onServersChanged(monotonicNow()));
}

void OwnerRunner::dropUnused() {
  std::erase_if(m_Queues, [&](const auto &Row) {
    const OwnedQueue &Queue = *Row.second;
    bool IsBusy = Queue.Queue.waiting() > 0 || Queue.Queue.nextWake();
    bool IsKnown = m_Services.find(Queue.Key.Service) == Queue.Service &&
                   Queue.Service->index().findLayout(Queue.Key.Layout);
    return !IsBusy && !IsKnown;
  });
  std::erase_if(m_ByServer,
                [](const auto &Row) { return Row.second.expired(); });
}

void OwnerRunner::perform(const QueuePointer &Queue, QueueActions Actions) {
  for (QueueAction &Action : Actions)
    std::visit(ActionVisitor{*this, Queue}, Action);
  countNew(*Queue);
  arm(Queue);
}

void OwnerRunner::arm(const QueuePointer &Queue) {
  std::optional<TimePoint> Wake = Queue->Queue.nextWake();
  if (!Wake) {
    Queue->Timer.expires_at(TimePoint::min());
    return;
  }
  if (Queue->Timer.expiry() == *Wake)
    return;
  Queue->Timer.expires_at(*Wake);
  Queue->Timer.async_wait(
      [this, Weak = std::weak_ptr(Queue)](boost::system::error_code Failed) {
        QueuePointer Woken = Weak.lock();
        if (Failed || !Woken)
          return;
        Woken->Timer.expires_at(TimePoint::min());
        perform(Woken, Woken->Queue.tick(monotonicNow()));
      });
}

void OwnerRunner::tickSharing(const ServerName &Server,
                              const OwnedQueue *Except) {
  auto [First, Last] = m_ByServer.equal_range(Server);
  std::vector<QueuePointer> Waiting;
  for (auto It = First; It != Last; ++It) {
    QueuePointer Queue = It->second.lock();
    if (Queue && Queue.get() != Except && Queue->Queue.waiting() > 0)
      Waiting.push_back(std::move(Queue));
  }
  for (const QueuePointer &Queue : Waiting)
    perform(Queue, Queue->Queue.tick(monotonicNow()));
}

void OwnerRunner::complete(SubrequestId Id, SubOutcome Outcome) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  Completion Done = std::move(Found->second.Done);
  m_Pending.erase(Found);
  Done(std::move(Outcome));
}

asio::awaitable<void> OwnerRunner::run(QueuePointer Queue, SendAttempt Send) {
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
  Queue->Queue.onStarted(Send.Attempt, Now);
  backend::SearchOutcome Outcome =
      co_await m_Fleet.search(Send.Server, std::move(Search));
  finishAttempt(Queue, Send, Outcome);
}

void OwnerRunner::finishAttempt(const QueuePointer &Queue,
                                const SendAttempt &Send,
                                const backend::SearchOutcome &Outcome) {
  OutcomeVisitor Report{.Queue = Queue->Queue,
                        .Send = Send,
                        .Board = Queue->Service->pinner().board(),
                        .Now = monotonicNow()};
  perform(Queue, std::visit(Report, Outcome));
  tickSharing(Send.Server, Queue.get());
}

void OwnerRunner::countNew(OwnedQueue &Queue) {
  const QueueCounters &Now = Queue.Queue.counters();
  QueueCounters &Told = Queue.Counted;
  Metrics &Collected = m_Context.Collected;
  auto CountGrowth = [&](std::string_view Name, std::uint64_t Is,
                         std::uint64_t &Was) {
    if (Is > Was)
      Collected.count(Name, Is - Was);
    Was = Is;
  };
  CountGrowth("hedges_total", Now.Hedges, Told.Hedges);
  CountGrowth("retries_total", Now.Retries, Told.Retries);
  CountGrowth("wrong_version_answers_total", Now.WrongVersions,
              Told.WrongVersions);
  CountGrowth("late_answers_total", Now.LateEvents, Told.LateEvents);
}

} // namespace carawaypond::daemon

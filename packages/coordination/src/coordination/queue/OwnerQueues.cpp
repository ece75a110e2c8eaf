#include "coordination/queue/OwnerQueues.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carawaypond {

namespace {

constexpr Duration NeverHedge = std::chrono::hours(24);

void add(QueueCounters &Sum, const QueueCounters &Each) {
  Sum.Sends += Each.Sends;
  Sum.Hedges += Each.Hedges;
  Sum.Retries += Each.Retries;
  Sum.WrongVersions += Each.WrongVersions;
  Sum.LateEvents += Each.LateEvents;
}

ReplicaSetQueueOptions queueOptions(const ServiceQueueOptions &Options) {
  ReplicaSetQueueOptions Queue{.Replicas = {},
                               .Classes = Options.Classes,
                               .HedgeQuantile = Options.HedgeQuantile};
  if (!Options.Hedge)
    Queue.MinHedgeDelay = NeverHedge;
  return Queue;
}

} // namespace

std::optional<TimePoint> OwnerQueues::nextWake() const {
  if (m_Wakes.empty())
    return std::nullopt;
  return m_Wakes.begin()->first;
}

Duration OwnerQueues::expectedWait(const ServiceName &Service,
                                   const ClassName &Class,
                                   TimePoint Now) const {
  Duration Longest = Duration::zero();
  for (const auto &[Key, Owned] : m_Queues)
    if (std::get<ServiceName>(Key) == Service && Owned->Queue.waiting() > 0)
      Longest = std::max(Longest, Owned->Queue.expectedWait(Class, Now));
  return Longest;
}

QueueCounters OwnerQueues::counters() const {
  QueueCounters Sum;
  for (const auto &[Key, Owned] : m_Queues)
    add(Sum, Owned->Queue.counters());
  return Sum;
}

QueueCounters OwnerQueues::totals() const {
  QueueCounters Sum = m_Dropped;
  add(Sum, counters());
  return Sum;
}

void OwnerQueues::configure(const ServiceName &Service,
                            const ServiceQueueOptions &Options,
                            ReplicaVersionTracker &Versions) {
  std::unique_ptr<ServiceState> &State = m_Services[Service];
  if (!State)
    State = std::make_unique<ServiceState>(
        ServiceState{.Options = Options,
                     .Versions = &Versions,
                     .Budget = ExtraLoadBudget(Options.ExtraLoad),
                     .Latencies = {}});
  State->Options = Options;
  State->Budget.reconfigure(Options.ExtraLoad);
  for (auto &[Key, Owned] : m_Queues)
    if (std::get<ServiceName>(Key) == Service)
      Owned->Queue.reconfigure(queueOptions(Options));
}

void OwnerQueues::setSlots(const ServerName &Server, std::uint32_t Slots) {
  m_Slots.setSlots(Server, Slots);
}

QueueActions OwnerQueues::setState(const ServerName &Server, ServerState State,
                                   TimePoint Now) {
  QueueActions Out;
  m_Slots.setState(Server, State);
  auto Found = m_ByServer.find(Server);
  if (Found == m_ByServer.end())
    return Out;
  for (OwnedQueue *Owned : Found->second)
    recordActions(*Owned, Owned->Queue.onServersChanged(Now), Out);
  return Out;
}

OwnerQueues::OwnedQueue &OwnerQueues::queueFor(const Subrequest &Request,
                                               ServiceState &Service) {
  std::unique_ptr<OwnedQueue> &Owned = m_Queues[{
      Request.Service, Request.Layout, Request.Shard, Request.Replica}];
  if (!Owned)
    Owned = std::make_unique<OwnedQueue>(
        OwnedQueue{.Queue = ReplicaSetQueue(queueOptions(Service.Options),
                                            {.Slots = m_Slots,
                                             .Scores = m_Scores,
                                             .Attempts = m_AttemptIds,
                                             .Budget = Service.Budget,
                                             .Latencies = Service.Latencies,
                                             .Versions = *Service.Versions}),
                   .Replicas = {},
                   .WakeAt = std::nullopt});
  return *Owned;
}

void OwnerQueues::updateReplicas(OwnedQueue &Owned,
                                 std::vector<ServerName> Replicas,
                                 TimePoint Now, QueueActions &Out) {
  if (Owned.Replicas == Replicas)
    return;
  unregisterFromServers(Owned);
  Owned.Replicas = std::move(Replicas);
  registerWithServers(Owned);
  recordActions(Owned, Owned.Queue.setReplicas(Owned.Replicas, Now), Out);
}

void OwnerQueues::registerWithServers(OwnedQueue &Owned) {
  for (const ServerName &Server : Owned.Replicas)
    m_ByServer[Server].push_back(&Owned);
}

void OwnerQueues::unregisterFromServers(OwnedQueue &Owned) {
  for (const ServerName &Server : Owned.Replicas)
    std::erase(m_ByServer[Server], &Owned);
}

void OwnerQueues::dropLayoutsBelow(const ServiceName &Service,
                                   std::uint64_t Oldest) {
  std::erase_if(m_Queues, [&](auto &Each) {
    auto &[Key, Owned] = Each;
    bool IsOld = std::get<ServiceName>(Key) == Service &&
                 std::get<std::uint64_t>(Key) < Oldest;
    if (!IsOld || !Owned->Queue.idle())
      return false;
    unregisterFromServers(*Owned);
    add(m_Dropped, Owned->Queue.counters());
    return true;
  });
}

bool OwnerQueues::remove(const ServiceName &Service) {
  dropLayoutsBelow(Service, std::numeric_limits<std::uint64_t>::max());
  bool IsInUse =
      std::any_of(m_Queues.begin(), m_Queues.end(), [&](const auto &Each) {
        return std::get<ServiceName>(Each.first) == Service;
      });
  if (!IsInUse)
    m_Services.erase(Service);
  return !IsInUse;
}

/// Records which queue each attempt and subrequest belongs to, and appends the
/// queue's actions to @p Out.
void OwnerQueues::recordActions(OwnedQueue &From, QueueActions Actions,
                                QueueActions &Out) {
  for (QueueAction &Action : Actions) {
    if (const auto *Send = std::get_if<SendAttempt>(&Action))
      m_ByAttempt.emplace(
          Send->Attempt,
          AttemptLocation{.Queue = &From, .Server = Send->Server});
    if (const auto *Complete = std::get_if<CompleteSubrequest>(&Action))
      m_BySubrequest.erase(Complete->Id);
    Out.push_back(std::move(Action));
  }
  updateWakeTimer(From);
}

void OwnerQueues::updateWakeTimer(OwnedQueue &Owned) {
  std::optional<TimePoint> WakeAt = Owned.Queue.nextWake();
  if (WakeAt == Owned.WakeAt)
    return;
  if (Owned.WakeAt)
    m_Wakes.erase({*Owned.WakeAt, &Owned});
  if (WakeAt)
    m_Wakes.emplace(*WakeAt, &Owned);
  Owned.WakeAt = WakeAt;
}

QueueActions OwnerQueues::enqueue(Subrequest Request,
                                  const std::vector<ServerName> &Replicas,
                                  TimePoint Now) {
  QueueActions Out;
  auto Service = m_Services.find(Request.Service);
  if (Service == m_Services.end()) {
    Out.push_back(CompleteSubrequest{
        .Id = Request.Id, .Outcome = SubNotRun{.Reason = SubReason::NoOwner}});
    return Out;
  }
  OwnedQueue &Owned = queueFor(Request, *Service->second);
  updateReplicas(Owned,
                 Request.Replica ? std::vector<ServerName>{*Request.Replica}
                                 : Replicas,
                 Now, Out);
  bool IsNew = m_BySubrequest.emplace(Request.Id, &Owned).second;
  if (IsNew)
    recordActions(Owned, Owned.Queue.enqueue(std::move(Request), Now), Out);
  return Out;
}

void OwnerQueues::onStarted(AttemptId Attempt, TimePoint Now) {
  auto Found = m_ByAttempt.find(Attempt);
  if (Found != m_ByAttempt.end())
    Found->second.Queue->Queue.onStarted(Attempt, Now);
}

/// Passes the end of an attempt to its queue, and offers the freed slot to the
/// waiting queues.
template <typename EventType>
QueueActions OwnerQueues::endAttempt(AttemptId Attempt, TimePoint Now,
                                     EventType Event) {
  QueueActions Out;
  auto Found = m_ByAttempt.find(Attempt);
  if (Found == m_ByAttempt.end())
    return Out;
  AttemptLocation Place = std::move(Found->second);
  m_ByAttempt.erase(Found);
  recordActions(*Place.Queue, Event(Place.Queue->Queue), Out);
  dispatchFreeSlots(Place.Server, Now, Out);
  return Out;
}

QueueActions OwnerQueues::onAnswered(AttemptId Attempt, SubAnswered Answer,
                                     TimePoint Now) {
  return endAttempt(Attempt, Now, [&](ReplicaSetQueue &Queue) {
    return Queue.onAnswered(Attempt, std::move(Answer), Now);
  });
}

QueueActions OwnerQueues::onRefused(AttemptId Attempt,
                                    const ServerRefusal &Refusal,
                                    TimePoint Now) {
  return endAttempt(Attempt, Now, [&](ReplicaSetQueue &Queue) {
    return Queue.onRefused(Attempt, Refusal, Now);
  });
}

QueueActions OwnerQueues::onLost(AttemptId Attempt, TimePoint Now) {
  return endAttempt(Attempt, Now, [&](ReplicaSetQueue &Queue) {
    return Queue.onLost(Attempt, Now);
  });
}

/// Offers a server's free slots to the waiting queues, round robin.
void OwnerQueues::dispatchFreeSlots(const ServerName &Server, TimePoint Now,
                                    QueueActions &Out) {
  std::vector<OwnedQueue *> &Queues = m_ByServer[Server];
  std::size_t First = m_NextToDispatch++;
  for (std::size_t I = 0; I < Queues.size() && m_Slots.hasFree(Server); ++I) {
    OwnedQueue &Owned = *Queues[(First + I) % Queues.size()];
    if (Owned.Queue.waiting() > 0)
      recordActions(Owned, Owned.Queue.tick(Now), Out);
  }
}

QueueActions OwnerQueues::cancel(SubrequestId Id, TimePoint Now) {
  QueueActions Out;
  auto Found = m_BySubrequest.find(Id);
  if (Found != m_BySubrequest.end()) {
    OwnedQueue &Owned = *Found->second;
    recordActions(Owned, Owned.Queue.cancel(Id, Now), Out);
  }
  return Out;
}

QueueActions OwnerQueues::tick(TimePoint Now) {
  QueueActions Out;
  while (!m_Wakes.empty() && m_Wakes.begin()->first <= Now) {
    OwnedQueue &Owned = *m_Wakes.begin()->second;
    recordActions(Owned, Owned.Queue.tick(Now), Out);
  }
  return Out;
}

} // namespace carawaypond

#include "OwnerModel.h"

#include "core/invariant/Invariant.h"

namespace carawaypond::proof {

namespace {

/// @brief Turns a queue's action into the message that it causes.
struct ActionTranslator {
  const VmName &Owner;
  std::size_t Query;
  ShardId Shard;

  Message operator()(SendAttempt &Send) const {
    return ToServer{.Owner = Owner, .Send = std::move(Send)};
  }
  Message operator()(CancelAttempt &Cancel) const {
    return CancelToServer{.Owner = Owner, .Cancel = std::move(Cancel)};
  }
  Message operator()(CompleteSubrequest &Complete) const {
    return ToCoordinator{.Query = Query,
                         .Ended = {.Id = Complete.Id,
                                   .Shard = Shard,
                                   .Outcome = std::move(Complete.Outcome)}};
  }
};

} // namespace

OwnerModel::OwnerModel(VmName Name) : m_Name(std::move(Name)) {}

ReplicaSetQueue &OwnerModel::queueFor(const Subrequest &Request,
                                      const std::vector<ServerName> &Replicas) {
  std::unique_ptr<ReplicaSetQueue> &Queue =
      m_Queues[{Request.Layout, Request.Shard}];
  if (!Queue)
    Queue = std::make_unique<ReplicaSetQueue>(
        ReplicaSetQueueOptions{
            .Replicas = Replicas,
            .Classes = {{.Name = ClassName("interactive"), .Share = 0.8},
                        {.Name = ClassName("sweep"), .Share = 0.2}}},
        QueueResources{.Slots = m_Slots,
                       .Scores = m_Scores,
                       .Attempts = m_Attempts,
                       .Budget = m_Budget,
                       .Latencies = m_Latencies,
                       .Versions = m_Versions});
  return *Queue;
}

QueueCounters OwnerModel::counters() const {
  QueueCounters Sum;
  for (const auto &[Key, Queue] : m_Queues) {
    const QueueCounters &Each = Queue->counters();
    Sum.Sends += Each.Sends;
    Sum.Hedges += Each.Hedges;
    Sum.Retries += Each.Retries;
    Sum.WrongVersions += Each.WrongVersions;
  }
  return Sum;
}

void OwnerModel::translate(QueueActions Actions, std::vector<Message> &Out) {
  for (QueueAction &Action : Actions) {
    Asked By;
    if (auto *Complete = std::get_if<CompleteSubrequest>(&Action)) {
      auto Found = m_Asked.find(Complete->Id);
      CARAWAYPOND_INVARIANT(Found != m_Asked.end(),
                            "a subrequest completed twice");
      By = Found->second;
      m_Asked.erase(Found);
    }
    ActionTranslator Translator{
        .Owner = m_Name, .Query = By.Query, .Shard = By.Shard};
    Out.push_back(std::visit(Translator, Action));
  }
}

template <typename EventType>
std::vector<Message> OwnerModel::forAll(EventType Event) {
  std::vector<Message> Out;
  for (auto &[Key, Queue] : m_Queues)
    translate(Event(*Queue), Out);
  return Out;
}

std::vector<Message>
OwnerModel::enqueue(const ToOwner &Arrived,
                    const std::vector<ServerName> &Replicas, TimePoint Now) {
  std::vector<Message> Out;
  m_Asked[Arrived.Request.Id] = {.Query = Arrived.Query,
                                 .Shard = Arrived.Request.Shard};
  ReplicaSetQueue &Queue = queueFor(Arrived.Request, Replicas);
  translate(Queue.enqueue(Arrived.Request, Now), Out);
  return Out;
}

std::vector<Message> OwnerModel::cancel(SubrequestId Id, TimePoint Now) {
  return forAll([&](ReplicaSetQueue &Queue) { return Queue.cancel(Id, Now); });
}

std::vector<Message> OwnerModel::onAnswer(const FromServer &Arrived,
                                          TimePoint Now) {
  return forAll([&](ReplicaSetQueue &Queue) {
    const auto *Answer = std::get_if<SubAnswered>(&Arrived.Answer);
    if (Answer != nullptr)
      return Queue.onAnswered(Arrived.Attempt, *Answer, Now);
    return Queue.onRefused(Arrived.Attempt,
                           std::get<ServerRefusal>(Arrived.Answer), Now);
  });
}

std::vector<Message> OwnerModel::onLost(AttemptId Attempt, TimePoint Now) {
  return forAll(
      [&](ReplicaSetQueue &Queue) { return Queue.onLost(Attempt, Now); });
}

std::vector<Message> OwnerModel::tick(TimePoint Now) {
  return forAll([&](ReplicaSetQueue &Queue) { return Queue.tick(Now); });
}

std::vector<Message> OwnerModel::onServersChanged(TimePoint Now) {
  return forAll(
      [&](ReplicaSetQueue &Queue) { return Queue.onServersChanged(Now); });
}

} // namespace carawaypond::proof

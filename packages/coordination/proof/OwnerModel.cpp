#include "OwnerModel.h"

#include "core/invariant/Invariant.h"

namespace carawaypond::proof {

namespace {

/// @brief Converts a queue's action to the message that it causes.
struct ActionTranslator {
  const VmName &Owner;
  std::size_t Query;
  ShardId Shard;

  Message operator()(SendAttempt &Send) const {
    return AttemptToServer{.Owner = Owner, .Send = std::move(Send)};
  }
  Message operator()(CancelAttempt &Cancel) const {
    return CancelToServer{.Owner = Owner, .Cancel = std::move(Cancel)};
  }
  Message operator()(CompleteSubrequest &Complete) const {
    return OutcomeToCoordinator{
        .Query = Query,
        .Ended = {.Id = Complete.Id,
                  .Shard = Shard,
                  .Outcome = std::move(Complete.Outcome)}};
  }
};

} // namespace

OwnerModel::OwnerModel(VmName Name, const ServiceName &Service)
    : m_Name(std::move(Name)) {
  m_Queues.configure(
      Service,
      {.Classes = {{.Name = ClassName("interactive"), .Share = 0.8},
                   {.Name = ClassName("sweep"), .Share = 0.2}},
       .ExtraLoad = {.Ratio = 0.3, .Burst = 10}},
      m_Versions);
}

std::vector<Message> OwnerModel::translate(QueueActions Actions) {
  std::vector<Message> Out;
  for (QueueAction &Action : Actions) {
    Asked Origin;
    if (auto *Complete = std::get_if<CompleteSubrequest>(&Action)) {
      auto Found = m_Asked.find(Complete->Id);
      CARAWAYPOND_INVARIANT(Found != m_Asked.end(),
                            "a subrequest completed twice");
      Origin = Found->second;
      m_Asked.erase(Found);
    }
    ActionTranslator Translator{
        .Owner = m_Name, .Query = Origin.Query, .Shard = Origin.Shard};
    Out.push_back(std::visit(Translator, Action));
  }
  return Out;
}

std::vector<Message>
OwnerModel::enqueue(const SubrequestToOwner &Arrived,
                    const std::vector<ServerName> &Replicas, TimePoint Now) {
  m_Asked[Arrived.Request.Id] = {.Query = Arrived.Query,
                                 .Shard = Arrived.Request.Shard};
  return translate(m_Queues.enqueue(Arrived.Request, Replicas, Now));
}

std::vector<Message> OwnerModel::onAnswer(const ReplyFromServer &Arrived,
                                          TimePoint Now) {
  const auto *Answer = std::get_if<SubAnswered>(&Arrived.Answer);
  if (Answer != nullptr)
    return translate(m_Queues.onAnswered(Arrived.Attempt, *Answer, Now));
  return translate(m_Queues.onRefused(
      Arrived.Attempt, std::get<ServerRefusal>(Arrived.Answer), Now));
}

} // namespace carawaypond::proof

#pragma once

#include "Messages.h"

#include "coordination/queue/OwnerQueues.h"

#include <map>
#include <vector>

namespace carawaypond::proof {

/// @brief An owner VM: its queues, and the query that each queued subrequest
/// belongs to.
class OwnerModel {
public:
  OwnerModel(VmName Name, const ServiceName &Service);

  [[nodiscard]] const VmName &name() const { return m_Name; }
  [[nodiscard]] OwnerQueues &queues() { return m_Queues; }
  [[nodiscard]] ReplicaVersionTracker &versions() { return m_Versions; }

  std::vector<Message> enqueue(const SubrequestToOwner &Arrived,
                               const std::vector<ServerName> &Replicas,
                               TimePoint Now);
  std::vector<Message> onAnswer(const ReplyFromServer &Arrived, TimePoint Now);
  /// @brief Converts the queues' actions to the messages that they cause.
  std::vector<Message> translate(QueueActions Actions);

private:
  struct Asked {
    std::size_t Query = 0;
    ShardId Shard;
  };

  VmName m_Name;
  ReplicaVersionTracker m_Versions;
  OwnerQueues m_Queues;
  std::map<SubrequestId, Asked> m_Asked;
};

} // namespace carawaypond::proof

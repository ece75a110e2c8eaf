#pragma once

#include "Messages.h"

#include "coordination/queue/ReplicaSetQueue.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace carawaypond::proof {

/// @brief An owner VM: its queues, and who asked for what.
class OwnerModel {
public:
  explicit OwnerModel(VmName Name);

  [[nodiscard]] const VmName &name() const { return m_Name; }
  [[nodiscard]] ServerSlots &slots() { return m_Slots; }
  [[nodiscard]] VersionBoard &versions() { return m_Versions; }
  [[nodiscard]] const ExtraLoadBudget &budget() const { return m_Budget; }

  /// @return The sums over all queues.
  [[nodiscard]] QueueCounters counters() const;

  std::vector<Message> enqueue(const ToOwner &Arrived,
                               const std::vector<ServerName> &Replicas,
                               TimePoint Now);
  std::vector<Message> cancel(SubrequestId Id, TimePoint Now);
  std::vector<Message> onAnswer(const FromServer &Arrived, TimePoint Now);
  std::vector<Message> onLost(AttemptId Attempt, TimePoint Now);
  std::vector<Message> tick(TimePoint Now);
  std::vector<Message> onServersChanged(TimePoint Now);

private:
  using QueueKey = std::pair<std::uint64_t, ShardId>;

  struct Asked {
    std::size_t Query = 0;
    ShardId Shard;
  };

  ReplicaSetQueue &queueFor(const Subrequest &Request,
                            const std::vector<ServerName> &Replicas);
  /// Calls @p Event on every queue; but one knows nothing of it.
  template <typename EventType> std::vector<Message> forAll(EventType Event);
  void translate(QueueActions Actions, std::vector<Message> &Out);

  VmName m_Name;
  ServerSlots m_Slots;
  ReplicaScores m_Scores;
  SerialIds<AttemptId> m_Attempts;
  ExtraLoadBudget m_Budget{{.Ratio = 0.3, .Burst = 10}};
  LatencyTracker m_Latencies;
  VersionBoard m_Versions;
  std::map<QueueKey, std::unique_ptr<ReplicaSetQueue>> m_Queues;
  std::map<SubrequestId, Asked> m_Asked;
};

} // namespace carawaypond::proof

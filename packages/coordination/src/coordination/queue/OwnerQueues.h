#pragma once

#include "coordination/queue/ReplicaSetQueue.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief Settings of one service's queues.
struct ServiceQueueOptions {
  std::vector<ClassShare> Classes;
  ExtraLoadOptions ExtraLoad;
  double HedgeQuantile = 0.95;
  bool Hedge = true; ///< False: no hedges are sent.
};

/// @brief All queues that this VM owns. They share one count of the backend
/// servers' slots. Routes each event to its queue, and offers a freed slot to
/// the queues that wait for that server.
class OwnerQueues {
public:
  [[nodiscard]] const ServerSlots &slots() const { return m_Slots; }
  [[nodiscard]] ReplicaScores &scores() { return m_Scores; }
  /// @return When tick() is due next, if at all.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @return The longest wait that a query of the service would have now. Scans
  /// all queues, so call it at intervals and not for each query.
  [[nodiscard]] Duration expectedWait(const ServiceName &Service,
                                      const ClassName &Class,
                                      TimePoint Now) const;
  /// @return The sums over the existing queues.
  [[nodiscard]] QueueCounters counters() const;
  /// @return The sums over all queues, dropped ones included.
  [[nodiscard]] QueueCounters totals() const;

  /// @brief Sets the options of a service's queues, existing ones included.
  /// @param Versions The versions that the service's replicas serve; must
  /// outlive this object.
  void configure(const ServiceName &Service, const ServiceQueueOptions &Options,
                 ReplicaVersionTracker &Versions);
  /// @brief Drops the idle queues of a service's layouts below @p Oldest.
  void dropLayoutsBelow(const ServiceName &Service, std::uint64_t Oldest);
  /// @brief Drops a service's idle queues, and removes the service once it has
  /// no queue.
  /// @return Whether the service's ReplicaVersionTracker is no longer
  /// referenced.
  [[nodiscard]] bool remove(const ServiceName &Service);
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  [[nodiscard]] QueueActions setState(const ServerName &Server,
                                      ServerState State, TimePoint Now);

  /// @brief Enqueues a subrequest of a configured service.
  /// @param Replicas The shard's replicas in the subrequest's layout; replaces
  /// the queue's list if it differs.
  [[nodiscard]] QueueActions enqueue(Subrequest Request,
                                     const std::vector<ServerName> &Replicas,
                                     TimePoint Now);
  /// @brief Call it when the first byte of an attempt was sent.
  void onStarted(AttemptId Attempt, TimePoint Now);
  [[nodiscard]] QueueActions onAnswered(AttemptId Attempt, SubAnswered Answer,
                                        TimePoint Now);
  [[nodiscard]] QueueActions
  onRefused(AttemptId Attempt, const ServerRefusal &Refusal, TimePoint Now);
  [[nodiscard]] QueueActions onLost(AttemptId Attempt, TimePoint Now);
  [[nodiscard]] QueueActions cancel(SubrequestId Id, TimePoint Now);
  [[nodiscard]] QueueActions tick(TimePoint Now);

private:
  using QueueKey = std::tuple<ServiceName, std::uint64_t, ShardId,
                              std::optional<ServerName>>;

  struct ServiceState {
    ServiceQueueOptions Options;
    ReplicaVersionTracker *Versions = nullptr;
    ExtraLoadBudget Budget;
    LatencyTracker Latencies;
  };

  struct OwnedQueue {
    ReplicaSetQueue Queue;
    std::vector<ServerName> Replicas;
    std::optional<TimePoint> WakeAt;
  };

  struct AttemptLocation {
    OwnedQueue *Queue = nullptr;
    ServerName Server;
  };

  OwnedQueue &queueFor(const Subrequest &Request, ServiceState &Service);
  void updateReplicas(OwnedQueue &Owned, std::vector<ServerName> Replicas,
                      TimePoint Now, QueueActions &Out);
  void registerWithServers(OwnedQueue &Owned);
  void unregisterFromServers(OwnedQueue &Owned);
  void recordActions(OwnedQueue &From, QueueActions Actions, QueueActions &Out);
  void updateWakeTimer(OwnedQueue &Queue);
  void dispatchFreeSlots(const ServerName &Server, TimePoint Now,
                         QueueActions &Out);
  template <typename EventType>
  QueueActions endAttempt(AttemptId Attempt, TimePoint Now, EventType Event);

  ServerSlots m_Slots;
  ReplicaScores m_Scores;
  IdGenerator<AttemptId> m_AttemptIds;
  std::map<ServiceName, std::unique_ptr<ServiceState>> m_Services;
  std::map<QueueKey, std::unique_ptr<OwnedQueue>> m_Queues;
  QueueCounters m_Dropped; ///< Sums over the dropped queues.
  std::unordered_map<ServerName, std::vector<OwnedQueue *>> m_ByServer;
  std::unordered_map<AttemptId, AttemptLocation> m_ByAttempt;
  std::unordered_map<SubrequestId, OwnedQueue *> m_BySubrequest;
  std::set<std::pair<TimePoint, OwnedQueue *>> m_Wakes;
  std::size_t m_NextToDispatch = 0;
};

} // namespace carawaypond

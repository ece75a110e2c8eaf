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

/// @brief How one service's queues behave.
struct ServiceQueueOptions {
  std::vector<ClassShare> Classes;
  ExtraLoadOptions ExtraLoad;
  double HedgeQuantile = 0.95;
  bool Hedge = true; ///< False: a straggler is waited for.
};

/// @brief All queues that this VM owns, over one account of the backend
/// servers' slots. Directs each event to its queue, and a freed slot to
/// whichever queue waits for that server.
class OwnerQueues {
public:
  [[nodiscard]] const ServerSlots &slots() const { return m_Slots; }
  [[nodiscard]] ReplicaScores &scores() { return m_Scores; }
  /// @return When tick() is due next, if at all.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @return The longest wait that a query of the service would meet now; a
  /// scan of the queues, to be taken at intervals.
  [[nodiscard]] Duration expectedWait(const ServiceName &Service,
                                      const ClassName &Class,
                                      TimePoint Now) const;
  /// @return The sums over the queues that exist.
  [[nodiscard]] QueueCounters counters() const;
  /// @return The sums over all queues so far.
  [[nodiscard]] QueueCounters totals() const;

  /// @brief Says how a service's queues behave, from now on and also those that
  /// exist already.
  /// @param Versions What the service's replicas serve; must outlive this.
  void configure(const ServiceName &Service, const ServiceQueueOptions &Options,
                 VersionBoard &Versions);
  /// @brief Drops the idle queues of a service's layouts below @p Oldest.
  void dropLayoutsBelow(const ServiceName &Service, std::uint64_t Oldest);
  /// @brief Drops a service's idle queues, and forgets the service with the
  /// last of them.
  /// @return Whether nothing refers to the service's VersionBoard any more.
  [[nodiscard]] bool remove(const ServiceName &Service);
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  [[nodiscard]] QueueActions setState(const ServerName &Server,
                                      ServerState State, TimePoint Now);

  /// @brief Takes a subrequest of a configured service.
  /// @param Replicas The shard's replicas in the subrequest's layout; a list
  /// that differs from the last one takes its place.
  [[nodiscard]] QueueActions enqueue(Subrequest Request,
                                     const std::vector<ServerName> &Replicas,
                                     TimePoint Now);
  /// @brief The first byte of an attempt was sent.
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
    VersionBoard *Versions = nullptr;
    ExtraLoadBudget Budget;
    LatencyTracker Latencies;
  };

  struct OwnedQueue {
    ReplicaSetQueue Queue;
    std::vector<ServerName> Replicas;
    std::optional<TimePoint> WakeAt;
  };

  struct AttemptPlace {
    OwnedQueue *Queue = nullptr;
    ServerName Server;
  };

  OwnedQueue &queueFor(const Subrequest &Request, ServiceState &Service);
  void useReplicas(OwnedQueue &Owned, std::vector<ServerName> Replicas,
                   TimePoint Now, QueueActions &Out);
  void listen(OwnedQueue &Owned);
  void stopListening(OwnedQueue &Owned);
  void take(OwnedQueue &From, QueueActions Actions, QueueActions &Out);
  void rearm(OwnedQueue &Queue);
  void pumpServer(const ServerName &Server, TimePoint Now, QueueActions &Out);
  template <typename EventType>
  QueueActions endAttempt(AttemptId Attempt, TimePoint Now, EventType Event);

  ServerSlots m_Slots;
  ReplicaScores m_Scores;
  SerialIds<AttemptId> m_AttemptIds;
  std::map<ServiceName, std::unique_ptr<ServiceState>> m_Services;
  std::map<QueueKey, std::unique_ptr<OwnedQueue>> m_Queues;
  QueueCounters m_Dropped; ///< Of queues that are gone.
  std::unordered_map<ServerName, std::vector<OwnedQueue *>> m_ByServer;
  std::unordered_map<AttemptId, AttemptPlace> m_ByAttempt;
  std::unordered_map<SubrequestId, OwnedQueue *> m_BySubrequest;
  std::set<std::pair<TimePoint, OwnedQueue *>> m_Wakes;
  std::size_t m_NextToPump = 0;
};

} // namespace carawaypond

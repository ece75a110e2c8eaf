#pragma once

#include "coordination/budget/ExtraLoadBudget.h"
#include "coordination/latency/LatencyTracker.h"
#include "coordination/latency/ReplicaScores.h"
#include "coordination/queue/ClassScheduler.h"
#include "coordination/queue/QueueActions.h"
#include "coordination/queue/QueueEntry.h"
#include "coordination/queue/ReplicaChoice.h"
#include "coordination/queue/ServerSlots.h"
#include "coordination/snapshot/VersionBoard.h"
#include "coordination/subrequest/SerialIds.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief What a queue is for, and how it hedges.
struct ReplicaSetQueueOptions {
  std::vector<ServerName> Replicas; ///< All of the shard's, or just one.
  std::vector<ClassShare> Classes;
  double HedgeQuantile = 0.95;
  Duration MinHedgeDelay = Milliseconds(1);
  Duration DefaultHedgeDelay = Milliseconds(30); ///< Without latencies yet.
};

/// @brief What queues of one service share; each must outlive them. Slots,
/// scores and ids are shared between services too.
struct QueueResources {
  ServerSlots &Slots;
  ReplicaScores &Scores;
  SerialIds<AttemptId> &Attempts;
  ExtraLoadBudget &Budget;
  LatencyTracker &Latencies;
  VersionBoard &Versions;
};

/// @brief What a queue has counted since it was made.
struct QueueCounters {
  std::uint64_t Sends = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t WrongVersions = 0; ///< Answers dropped for their version.
  std::uint64_t LateEvents = 0;    ///< For attempts that are not known.
};

/// @brief The owner's queue over the real slots of a shard's replicas.
///
/// A subrequest completes exactly once. One that is not repeatable is sent
/// again only after the backend server said that it did not run. After an
/// event that frees a slot, tick() the other queues that use the server.
class ReplicaSetQueue {
public:
  ReplicaSetQueue(ReplicaSetQueueOptions Options, QueueResources Resources);

  /// @return Subrequests that wait for a slot.
  [[nodiscard]] std::size_t waiting() const { return m_Scheduler.size(); }
  /// @return Whether nothing waits, and nothing is at a backend server.
  [[nodiscard]] bool idle() const {
    return m_Entries.empty() && m_Attempts.empty();
  }
  /// @return When tick() is due next, if at all.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @return How long a subrequest enqueued now would wait for a slot.
  [[nodiscard]] Duration expectedWait(const ClassName &Class,
                                      TimePoint Now) const;
  [[nodiscard]] const QueueCounters &counters() const { return m_Counters; }

  /// @brief Takes a subrequest; one with a known id is ignored.
  [[nodiscard]] QueueActions enqueue(Subrequest Request, TimePoint Now);
  /// @brief The first byte of an attempt was sent; its latency counts from now.
  void onStarted(AttemptId Attempt, TimePoint Now);
  [[nodiscard]] QueueActions onAnswered(AttemptId Attempt, SubAnswered Answer,
                                        TimePoint Now);
  /// @brief The server refused, or nothing was sent (NotConnected, not ran).
  [[nodiscard]] QueueActions
  onRefused(AttemptId Attempt, const ServerRefusal &Refusal, TimePoint Now);
  /// @brief No answer will come, and the subrequest may have run.
  [[nodiscard]] QueueActions onLost(AttemptId Attempt, TimePoint Now);
  /// @brief The coordinator no longer wants the answer.
  [[nodiscard]] QueueActions cancel(SubrequestId Id, TimePoint Now);
  /// @brief Drops what has expired, hedges, and sends what can be sent. Call
  /// it at nextWake(), and after another queue freed a slot.
  [[nodiscard]] QueueActions tick(TimePoint Now);
  /// @brief Call it after a server's state or slots have changed: what no
  /// replica can take any more completes.
  [[nodiscard]] QueueActions onServersChanged(TimePoint Now);
  /// @brief Takes other shares and hedging delays; what waits goes on waiting,
  /// and the replicas stay.
  void reconfigure(const ReplicaSetQueueOptions &Options);
  /// @brief Takes another list of replicas; attempts under way go on.
  [[nodiscard]] QueueActions setReplicas(std::vector<ServerName> Replicas,
                                         TimePoint Now);

private:
  using Entry = internal::QueueEntry;
  using Attempt = internal::QueueAttempt;
  using Timer = std::pair<TimePoint, SubrequestId>;

  [[nodiscard]] bool isHopeless(const Entry &E, TimePoint Now) const;
  [[nodiscard]] Duration hedgeDelay(const Entry &E, TimePoint Now) const;

  std::optional<Attempt> endAttempt(AttemptId Id);
  Entry *entryOf(const Attempt &Ended, AttemptId Id);
  void settle(Entry &E, TimePoint Now, QueueActions &Out);
  bool retry(Entry &E, TimePoint Now);
  void pump(TimePoint Now, QueueActions &Out);
  void dropExpired(TimePoint Now, QueueActions &Out);
  void hedgeDue(TimePoint Now, QueueActions &Out);
  void sendWaiting(TimePoint Now, QueueActions &Out);
  void send(Entry &E, const ServerName &Server, TimePoint Now,
            QueueActions &Out);
  void armHedge(Entry &E, TimePoint At);
  void disarmHedge(Entry &E);
  void noteLosers(const Entry &E, TimePoint Now);
  void noteGone(Entry &E, const ServerName &Server,
                const ServerRefusal &Refusal, TimePoint Now);
  void complete(SubrequestId Id, SubOutcome Outcome, QueueActions &Out);
  [[nodiscard]] static SubOutcome failedOutcome(const Entry &E);

  ReplicaSetQueueOptions m_Options;
  QueueResources m_Resources;
  ReplicaChoice m_Choice;
  ClassScheduler m_Scheduler;
  std::unordered_map<SubrequestId, Entry> m_Entries;
  std::unordered_map<AttemptId, Attempt> m_Attempts;
  std::set<Timer> m_Deadlines;
  std::set<Timer> m_HedgeTimers;
  QueueCounters m_Counters;
};

} // namespace carawaypond

#pragma once

#include "coordination/budget/ExtraLoadBudget.h"
#include "coordination/latency/LatencyTracker.h"
#include "coordination/latency/ReplicaScores.h"
#include "coordination/queue/ClassScheduler.h"
#include "coordination/queue/QueueActions.h"
#include "coordination/queue/QueueEntry.h"
#include "coordination/queue/ReplicaSelector.h"
#include "coordination/queue/ServerSlots.h"
#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "coordination/subrequest/IdGenerator.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief Replicas, classes and hedging of a queue.
struct ReplicaSetQueueOptions {
  std::vector<ServerName> Replicas; ///< All of the shard, or one of them.
  std::vector<ClassShare> Classes;
  double HedgeQuantile = 0.95;
  Duration MinHedgeDelay = Milliseconds(1);
  /// Before any latency is known.
  Duration DefaultHedgeDelay = Milliseconds(30);
};

/// @brief Objects that the queues of one service share, and that must outlive
/// them. Slots, scores and ids are shared between services too.
struct QueueResources {
  ServerSlots &Slots;
  ReplicaScores &Scores;
  IdGenerator<AttemptId> &Attempts;
  ExtraLoadBudget &Budget;
  LatencyTracker &Latencies;
  ReplicaVersionTracker &Versions;
};

/// @brief Counters of a queue since its creation.
struct QueueCounters {
  std::uint64_t Sends = 0;
  std::uint64_t Hedges = 0;
  std::uint64_t Retries = 0;
  std::uint64_t WrongVersions = 0; ///< Answers dropped for their version.
  std::uint64_t LateEvents = 0;    ///< Of attempts that are not known.
};

/// @brief The owner VM's queue for the slots of a shard's replicas.
///
/// A subrequest completes exactly once. One that is not repeatable is sent
/// again only after the backend server reported that it did not run. After an
/// event that frees a slot, call tick() on the other queues that use the
/// server.
class ReplicaSetQueue {
public:
  ReplicaSetQueue(ReplicaSetQueueOptions Options, QueueResources Resources);

  /// @return The number of subrequests that wait for a slot.
  [[nodiscard]] std::size_t waiting() const { return m_Scheduler.size(); }
  /// @return Whether no subrequest waits and none is at a backend server.
  [[nodiscard]] bool idle() const {
    return m_Entries.empty() && m_Attempts.empty();
  }
  /// @return When tick() is due next, if at all.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;
  /// @return How long a subrequest enqueued now would wait for a slot.
  [[nodiscard]] Duration expectedWait(const ClassName &Class,
                                      TimePoint Now) const;
  [[nodiscard]] const QueueCounters &counters() const { return m_Counters; }

  /// @brief Enqueues a subrequest. One whose id is queued already is ignored.
  [[nodiscard]] QueueActions enqueue(Subrequest Request, TimePoint Now);
  /// @brief Call it when the first byte of an attempt was sent. The attempt's
  /// latency is measured from then.
  void onStarted(AttemptId Attempt, TimePoint Now);
  [[nodiscard]] QueueActions onAnswered(AttemptId Attempt, SubAnswered Answer,
                                        TimePoint Now);
  /// @brief The server refused, or nothing was sent (reason NotConnected, Ran
  /// is false).
  [[nodiscard]] QueueActions
  onRefused(AttemptId Attempt, const ServerRefusal &Refusal, TimePoint Now);
  /// @brief No answer will come, and the subrequest may have run.
  [[nodiscard]] QueueActions onLost(AttemptId Attempt, TimePoint Now);
  /// @brief The coordinator no longer needs the answer.
  [[nodiscard]] QueueActions cancel(SubrequestId Id, TimePoint Now);
  /// @brief Completes expired subrequests, sends due hedges and sends waiting
  /// subrequests to free slots. Call it at nextWake(), and after another queue
  /// freed a slot.
  [[nodiscard]] QueueActions tick(TimePoint Now);
  /// @brief Call it after a server's state or slots have changed. Completes the
  /// waiting subrequests that no replica can take any more.
  [[nodiscard]] QueueActions onServersChanged(TimePoint Now);
  /// @brief Replaces the shares and hedging delays. Waiting subrequests and the
  /// list of replicas are kept.
  void reconfigure(const ReplicaSetQueueOptions &Options);
  /// @brief Replaces the list of replicas. Outstanding attempts continue.
  [[nodiscard]] QueueActions setReplicas(std::vector<ServerName> Replicas,
                                         TimePoint Now);

private:
  using Entry = internal::QueueEntry;
  using Attempt = internal::QueueAttempt;
  using Timer = std::pair<TimePoint, SubrequestId>;

  [[nodiscard]] bool wouldMissDeadline(const Entry &E, TimePoint Now) const;
  [[nodiscard]] Duration hedgeDelay(const Entry &E, TimePoint Now) const;

  std::optional<Attempt> endAttempt(AttemptId Id);
  Entry *detachFromEntry(const Attempt &Ended, AttemptId Id);
  void retryOrComplete(Entry &E, TimePoint Now, QueueActions &Out);
  bool retry(Entry &E, TimePoint Now);
  void processQueue(TimePoint Now, QueueActions &Out);
  void dropExpired(TimePoint Now, QueueActions &Out);
  void sendDueHedges(TimePoint Now, QueueActions &Out);
  void sendWaiting(TimePoint Now, QueueActions &Out);
  void send(Entry &E, const ServerName &Server, TimePoint Now,
            QueueActions &Out);
  void armHedge(Entry &E, TimePoint At);
  void disarmHedge(Entry &E);
  void recordOvertakenAttempts(const Entry &E, TimePoint Now);
  void recordVersionRefusal(Entry &E, const ServerName &Server,
                            const ServerRefusal &Refusal, TimePoint Now);
  void complete(SubrequestId Id, SubOutcome Outcome, QueueActions &Out);
  [[nodiscard]] static SubOutcome failedOutcome(const Entry &E);

  ReplicaSetQueueOptions m_Options;
  QueueResources m_Resources;
  ReplicaSelector m_Selector;
  ClassScheduler m_Scheduler;
  std::unordered_map<SubrequestId, Entry> m_Entries;
  std::unordered_map<AttemptId, Attempt> m_Attempts;
  std::set<Timer> m_Deadlines;
  std::set<Timer> m_HedgeTimers;
  QueueCounters m_Counters;
};

} // namespace carawaypond

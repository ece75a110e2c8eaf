#pragma once

#include "coordination/placement/AttemptResult.h"
#include "coordination/placement/ReplicaFleet.h"
#include "coordination/routing/RequestRoute.h"
#include "coordination/routing/RoutingTable.h"
#include "coordination/run/RunActions.h"
#include "coordination/run/RunOptions.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <memory>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief What a run is to do, and until when.
struct RunPlan {
  std::shared_ptr<const RoutingTable> Table; ///< Keeps the route alive.
  const RequestRoute *Chosen = nullptr;
  std::vector<ServiceName> Services; ///< One, or every shard.
  Milliseconds CallerPatience{0};    ///< How long the caller waits from now.
  Milliseconds AlreadyWaited{0};     ///< By the caller, before this attempt.
};

/// @brief One request: its attempts at one replica of each service, hedges,
/// retries, and when which answer is given.
///
/// Answers the load of queries over many shards whose replicas pause, fail or
/// refuse: a late attempt is doubled within the budget, and an answer goes out
/// before the objective when enough shards are in and the rest is late.
/// Gives exactly one of AnswerParts, RelayReply, RefuseRequest and FailRequest,
/// unless the caller leaves first.
class RequestRun {
public:
  RequestRun(RunPlan Plan, ReplicaFleet &Fleet, SubrequestId FirstId,
             const RunOptions &Options, TimePoint Now);

  [[nodiscard]] bool isAnswered() const { return m_IsAnswered; }
  /// @return Whether nothing is outstanding and the answer was given.
  [[nodiscard]] bool isDone() const;
  /// @return When onTick() is to be called, if nothing else happens.
  [[nodiscard]] TimePoint nextTick(TimePoint Now) const;
  /// @return When replicas must stop working on the request.
  [[nodiscard]] TimePoint deadline() const { return m_Deadline; }
  /// @return The greatest number of attempts that this run can make.
  [[nodiscard]] std::size_t maxAttempts() const;
  /// @return Whether the budget did not allow a hedge or retry.
  [[nodiscard]] bool wasDenied() const { return m_WasDenied; }
  /// @return Whether an answer at @p Now still meets the objective.
  [[nodiscard]] bool meetsObjective(TimePoint Now) const {
    return Now <= m_ObjectiveAt;
  }
  [[nodiscard]] const RequestRoute &route() const { return *m_Plan.Chosen; }
  [[nodiscard]] const RunPlan &plan() const { return m_Plan; }

  RunActions start(TimePoint Now);
  RunActions onEnded(SubrequestId Id, AttemptResult How, TimePoint Now);
  RunActions onTick(TimePoint Now);
  RunActions onCallerGone(TimePoint Now);

private:
  struct Attempt {
    SubrequestId Id;
    ServerName Replica;
    TimePoint SentAt;
    std::optional<AttemptResult> Ended;
  };
  struct Target {
    ServiceName Service;
    std::vector<Attempt> Attempts;
    std::optional<SubrequestId> Served;
    std::optional<SubrequestId> Failed; ///< The replica's own failure.
    bool IsGivenUp = false;
  };

  [[nodiscard]] bool isGather() const;
  [[nodiscard]] bool mayRepeat() const;
  [[nodiscard]] std::size_t outstanding(const Target &Of) const;
  [[nodiscard]] bool mayHaveRun() const;
  [[nodiscard]] bool maySendAgain(const Target &Of) const;
  [[nodiscard]] std::vector<ServerName> used(const Target &Of) const;
  [[nodiscard]] std::size_t servedCount() const;
  [[nodiscard]] bool hasLeastShare() const;
  [[nodiscard]] bool isDecided() const;
  /// @return The least wait at a replica of the target, if it has one.
  [[nodiscard]] std::optional<Duration> leastWait(const Target &Of,
                                                  TimePoint Now) const;
  /// @return Whether enough targets may still be served.
  [[nodiscard]] bool canSucceed() const;
  [[nodiscard]] bool isLate(const Target &Of, TimePoint Now) const;

  void sendFirst(Target &To, RunActions &Out, TimePoint Now);
  void send(Target &To, ReplicaGauge &Replica, AttemptReason Why,
            RunActions &Out, TimePoint Now);
  bool sendExtra(Target &To, AttemptReason Why, RunActions &Out, TimePoint Now);
  void refuse(RunActions &Out, TimePoint Now);
  void hedge(RunActions &Out, TimePoint Now);
  void decide(RunActions &Out, TimePoint Now);
  void answerParts(RunActions &Out, TimePoint Now);
  void answerFailure(RunActions &Out, TimePoint Now);
  void finish(RunAction Answer, Duration Grace, RunActions &Out);

  RunPlan m_Plan;
  ReplicaFleet &m_Fleet;
  RunOptions m_Options;
  RouteLatency &m_Latency;
  TimePoint m_StartedAt;
  TimePoint m_ObjectiveAt; ///< Last moment to answer within the objective.
  TimePoint m_Deadline;
  std::uint64_t m_NextId;
  std::vector<Target> m_Targets;
  bool m_WasDenied = false;
  bool m_IsAnswered = false;
};

} // namespace carawaypond

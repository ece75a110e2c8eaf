#pragma once

#include "coordination/overload/AdmissionRate.h"
#include "coordination/overload/LoadSample.h"
#include "coordination/placement/AttemptResult.h"
#include "coordination/placement/ReplicaFleet.h"
#include "coordination/routing/RequestRoute.h"
#include "coordination/routing/RoutingTable.h"
#include "coordination/run/RunActions.h"
#include "coordination/run/RunOptions.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief The route, services and time limits of a RequestRun.
struct RunPlan {
  std::shared_ptr<const RoutingTable> Table; ///< Keeps the route alive.
  const RequestRoute *Chosen = nullptr;
  std::vector<ServiceName> Services; ///< One service, or every shard.
  Milliseconds CallerTimeout{0};     ///< How long the caller waits.
  Milliseconds AlreadyWaited{0};     ///< By the caller, in earlier tries.
  const Workspace *Caller = nullptr; ///< Null if the request bears no key.
  /// Limit on requests to the services; null if there is none. While it
  /// is in force, nothing more is sent to a service that an attempt may already
  /// have reached.
  const AdmissionRate *Limit = nullptr;

  /// @return Of the workspace if it has one, else of the route; 0 is the most
  /// urgent.
  [[nodiscard]] unsigned priority() const {
    return Caller != nullptr ? Caller->Priority.value_or(Chosen->Priority)
                             : Chosen->Priority;
  }

  /// @return How long the request may take: as long as its caller waits and its
  /// route allows.
  [[nodiscard]] Milliseconds timeout() const {
    return std::min(CallerTimeout, Chosen->Timeout);
  }
};

/// @brief Executes one request: sends it to one replica of each service, hedges
/// and retries, and decides when and how the caller is answered.
///
/// Handles requests to many shards whose replicas pause, fail or refuse: a late
/// attempt is hedged within the budget, and the request is answered before its
/// latency objective if enough shards have answered and the others are late.
/// Emits exactly one of AnswerParts, RelayReply, RefuseRequest and FailRequest,
/// unless the caller disconnects first.
class RequestRun {
public:
  /// @param ReceivedAt When the caller's timeout began to run.
  RequestRun(RunPlan Plan, ReplicaFleet &Fleet, SubrequestId FirstId,
             const RunOptions &Options, TimePoint ReceivedAt);

  [[nodiscard]] bool isAnswered() const { return m_IsAnswered; }
  /// @return Whether the caller was answered and no attempt is outstanding.
  [[nodiscard]] bool isDone() const;
  /// @return When onTick() is due, unless another event comes first.
  [[nodiscard]] TimePoint nextTick(TimePoint Now) const;
  /// @return When replicas must stop working on the request.
  [[nodiscard]] TimePoint deadline() const { return m_Deadline; }
  /// @return The maximum number of attempts of this run.
  [[nodiscard]] std::size_t maxAttempts() const;
  /// @return Whether the budget was too low for a hedge or retry.
  [[nodiscard]] bool wasBudgetExhausted() const { return m_WasBudgetExhausted; }
  /// @return Whether an answer at @p Now still meets the objective.
  [[nodiscard]] bool meetsObjective(TimePoint Now) const {
    return Now <= m_ObjectiveAt;
  }
  /// @return Whether an attempt that waited for a connection is still to be
  /// sent.
  [[nodiscard]] bool maySend(SubrequestId Id, TimePoint Now) const;
  /// @return How long a replica may work on an attempt that is sent at @p Now.
  [[nodiscard]] Milliseconds timeLeft(TimePoint Now) const {
    return std::chrono::ceil<Milliseconds>(m_Deadline - Now);
  }
  [[nodiscard]] const RequestRoute &route() const { return *m_Plan.Chosen; }
  [[nodiscard]] const RunPlan &plan() const { return m_Plan; }
  /// @return What the answered request shows about its replicas' capacity;
  /// nothing if its caller has disconnected.
  [[nodiscard]] const std::optional<LoadSample> &loadSample() const {
    return m_LoadSample;
  }

  RunActions start(TimePoint Now);
  RunActions onEnded(SubrequestId Id, AttemptResult How, TimePoint Now);
  RunActions onTick(TimePoint Now);
  RunActions onCallerGone(TimePoint Now);
  /// @brief Sends nothing more: replicas end when they run the request.
  void stopSending() { m_MaySend = false; }
  /// @brief Ends the request, as this VM exits.
  RunActions onStopping(TimePoint Now);

private:
  struct Attempt {
    SubrequestId Id;
    ServerName Replica;
    TimePoint SentAt;
    std::optional<AttemptResult> Ended;
    /// When it was charged to the budget, if it was.
    std::optional<TimePoint> ChargedAt;
  };
  struct Target {
    ServiceName Service;
    std::vector<Attempt> Attempts;
    std::optional<SubrequestId> Served;
    /// Latest attempt whose replica answered with a failure.
    std::optional<SubrequestId> Failed;
    bool IsGivenUp = false;
    bool IsBusy = false; ///< Every replica's wait exceeded the deadline.
  };

  [[nodiscard]] bool isScatterGather() const;
  [[nodiscard]] bool isRouteIdempotent() const;
  [[nodiscard]] std::size_t outstanding(const Target &Of) const;
  [[nodiscard]] bool mayHaveRun() const;
  /// @return Whether an attempt has reached a replica or still may.
  [[nodiscard]] static bool mayHaveArrived(const Target &At);
  [[nodiscard]] bool maySendAgain(const Target &Of) const;
  /// @return Whether the attempt's replica may still get requests.
  [[nodiscard]] bool isUsable(const Target &Of, const Attempt &Made,
                              TimePoint Now) const;
  [[nodiscard]] std::vector<ServerName> usedReplicas(const Target &Of) const;
  [[nodiscard]] std::size_t servedCount() const;
  [[nodiscard]] bool hasLeastShare() const;
  [[nodiscard]] bool allTargetsSettled() const;
  /// @return The least expected wait over the target's usable replicas; nothing
  /// if there is none.
  [[nodiscard]] std::optional<Duration> leastWait(const Target &Of,
                                                  TimePoint Now) const;
  /// @return Whether enough targets may still be served for a success.
  [[nodiscard]] bool canSucceed() const;
  [[nodiscard]] bool isLimited() const;
  /// @return How many targets a success may lack.
  [[nodiscard]] std::size_t allowedMissing() const;
  [[nodiscard]] LoadSample measureLoad() const;
  [[nodiscard]] bool isHedgeDue(const Target &Of, TimePoint Now) const;

  void sendFirst(Target &To, RunActions &Out, TimePoint Now);
  void send(Target &To, ReplicaTracker &Replica, AttemptReason Why,
            RunActions &Out, TimePoint Now);
  bool sendExtra(Target &To, AttemptReason Why, RunActions &Out, TimePoint Now);
  /// @brief Refuses, as too few shards have a replica that can serve in time.
  void refuseForReplicas(RunActions &Out, TimePoint Now);
  /// @param Wait Expected time until a retry can be served.
  void refuse(RefusalReason Why, Duration Wait, RunActions &Out, TimePoint Now);
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
  TimePoint m_ObjectiveAt; ///< Latest time to answer within the objective.
  TimePoint m_Deadline;
  std::uint64_t m_NextId;
  std::vector<Target> m_Targets;
  bool m_MaySend = true;
  bool m_WasBudgetExhausted = false;
  bool m_IsAnswered = false;
  std::optional<LoadSample> m_LoadSample;
};

} // namespace carawaypond

#pragma once

#include "coordination/budget/ExtraLoadBudget.h"
#include "coordination/ownership/RouteTable.h"
#include "coordination/query/QueryActions.h"
#include "coordination/query/SendTracker.h"
#include "coordination/snapshot/SnapshotPinner.h"
#include "coordination/subrequest/IdGenerator.h"
#include "coordination/subrequest/SubOutcome.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief A caller's query, with its limits.
struct Query {
  ServiceName Service;
  ClassName Class;
  TimePoint Deadline;
  bool Repeatable = true;
  std::shared_ptr<const std::string> Request; ///< As JSON.
};

/// @brief Limits on rerouting and restarting a query.
struct QueryRunOptions {
  Duration OwnerTimeout = Milliseconds(40); ///< Until the next VM is tried.
  std::uint32_t MaxRestarts = 2;            ///< On another snapshot.
};

/// @brief Objects that the queries of one service at one VM share, and that
/// must outlive them.
struct QueryResources {
  SnapshotPinner &Pinner;
  std::shared_ptr<const RouteTable> Routes;
  ExtraLoadBudget &Budget;
  IdGenerator<SubrequestId> &Ids;
};

/// @brief An outcome that arrived for a subrequest.
struct SubrequestEnded {
  SubrequestId Id;
  ShardId Shard;
  SubOutcome Outcome;
};

/// @brief Counters of one query.
struct QueryCounters {
  std::uint32_t Sends = 0;
  std::uint32_t Reroutes = 0;
  std::uint32_t Restarts = 0;
  std::uint32_t ForeignAnswers = 0; ///< For subrequests of other queries.
  std::uint32_t LateAnswers = 0;    ///< For subrequests that were settled.
  std::uint32_t WrongVersions = 0;  ///< Of a version that was not pinned.
};

/// @brief The coordinator's side of one query: pins a snapshot, sends one
/// subrequest for each of its shards, and decides the result for the caller.
///
/// A restart on another snapshot sends to all shards again without charging the
/// extra-load budget, at most MaxRestarts times.
class QueryRun {
public:
  QueryRun(Query Asked, QueryResources Resources, QueryRunOptions Options);

  [[nodiscard]] bool finished() const { return m_Finished; }
  [[nodiscard]] const QueryCounters &counters() const { return m_Counters; }
  /// @return When tick() is due next; nothing once the query has finished.
  [[nodiscard]] std::optional<TimePoint> nextWake() const;

  /// @brief Pins a snapshot and sends the subrequests. Call it once, before any
  /// other method.
  [[nodiscard]] QueryActions start(TimePoint Now);
  /// @brief An outcome arrived. Late and duplicate ones, and those of other
  /// queries, are tolerated and counted.
  [[nodiscard]] QueryActions onEnded(const SubrequestEnded &Event,
                                     TimePoint Now);
  /// @brief The owner can't be reached, or the connection to it broke.
  /// @param MayHaveBeenSent False when no byte of the subrequest left this VM.
  [[nodiscard]] QueryActions onOwnerLost(SubrequestId Id, bool MayHaveBeenSent,
                                         TimePoint Now);
  /// @brief Reroutes subrequests of owners that do not answer, and finishes the
  /// query at the deadline.
  [[nodiscard]] QueryActions tick(TimePoint Now);
  /// @brief The caller has disconnected.
  [[nodiscard]] QueryActions cancel(TimePoint Now);

private:
  using Send = internal::SendRecord;
  using SendState = internal::SendState;

  struct ShardRun {
    ShardId Id;
    std::vector<Route> Routes;
    std::size_t NextRoute = 0;
    std::vector<SubrequestId> Sends;    ///< In this round.
    std::optional<TimePoint> RerouteAt; ///< When the next route is tried.
    std::optional<ShardAnswer> Answer;
    SubReason Reason = SubReason::Timeout; ///< Why there is no answer.
    bool Settled = false; ///< No answer is awaited; one may still come.
  };

  /// @brief Applies one outcome to the send that it is for.
  struct OutcomeVisitor;

  [[nodiscard]] bool mayReroute(const ShardRun &Shard, TimePoint Now) const;
  [[nodiscard]] bool isPinned(const SubAnswered &Answer) const;
  [[nodiscard]] QueryResult result() const;

  Send *findSend(const SubrequestEnded &Event);
  void begin(std::shared_ptr<const PinnedSnapshot> Pinned, TimePoint Now,
             QueryActions &Out);
  void addShard(const PinnedShard &Pinned, TimePoint Now, QueryActions &Out);
  void sendNext(std::size_t ShardIndex, TimePoint Now, QueryActions &Out);
  void accept(ShardRun &Shard, const SubAnswered &Answer, QueryActions &Out);
  void failShard(ShardRun &Shard, SubReason Reason);
  void rerouteOrFail(std::size_t ShardIndex, SubReason Reason, TimePoint Now,
                     QueryActions &Out);
  void armRerouteTimer(std::size_t ShardIndex, TimePoint At);
  void disarmRerouteTimer(std::size_t ShardIndex);
  void settle(ShardRun &Shard);
  void rerouteSilentOwners(TimePoint Now, QueryActions &Out);
  bool restart(TimePoint Now, QueryActions &Out);
  void cancelSend(SubrequestId Id, QueryActions &Out);
  void cancelOutstanding(QueryActions &Out);
  void concludeIfSettled(TimePoint Now, QueryActions &Out);
  void finish(QueryResult Result, QueryActions &Out);

  Query m_Query;
  QueryResources m_Resources;
  QueryRunOptions m_Options;
  std::shared_ptr<const PinnedSnapshot> m_Pinned;
  std::vector<ShardRun> m_Shards; ///< In the snapshot's order.
  internal::SendTracker m_Sends;
  std::set<std::pair<TimePoint, std::size_t>> m_RerouteTimers;
  QueryCounters m_Counters;
  std::uint32_t m_Round = 0;
  std::size_t m_Unsettled = 0;
  bool m_Finished = false;
};

} // namespace carawaypond

#pragma once

#include "coordination/refusal/RefusalReason.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Why an attempt is made.
enum class AttemptReason {
  First,   ///< The first attempt at its service.
  Stalled, ///< The previous attempt's replica has stopped answering.
  Late,    ///< The previous attempt takes longer than is normal.
  Retry,   ///< The previous attempt ended without being served.
};

/// @brief Send the request to one replica.
struct StartAttempt {
  SubrequestId Id;
  ServiceName Service;
  ServerName Replica;
  AttemptReason Why = AttemptReason::First;
  double Cost = 0; ///< Of the replica when chosen; see PlacementOptions.

  /// @return Whether it is a hedge or a retry.
  [[nodiscard]] bool isExtra() const { return Why != AttemptReason::First; }
};

/// @brief Close the attempt's connection unless it has ended by then.
struct AbandonAttempt {
  SubrequestId Id;
  Duration Grace{}; ///< How long its answer is still awaited.
};

/// @brief Answer with the merged records of these attempts.
struct AnswerParts {
  std::vector<SubrequestId> Parts;
  std::size_t Missing = 0; ///< Shards without an answer.
  std::size_t TopRecords = 0;
};

/// @brief Relay the replica's answer to this attempt.
struct RelayReply {
  SubrequestId Attempt;
};

/// @brief Answer that the request has not run and will not run.
struct RefuseRequest {
  RefusalReason Why = RefusalReason::NoReplica;
  Milliseconds RetryAfter{0};
};

enum class FailureReason { ReplicaLost, TimedOut, TooFewShards, Leaving };

/// @brief Answer that the request failed and may have run.
struct FailRequest {
  FailureReason Why = FailureReason::ReplicaLost;
};

using RunAction = std::variant<StartAttempt, AbandonAttempt, AnswerParts,
                               RelayReply, RefuseRequest, FailRequest>;
using RunActions = std::vector<RunAction>;

} // namespace carawaypond

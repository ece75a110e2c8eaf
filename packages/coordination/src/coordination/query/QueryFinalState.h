#pragma once

#include "coordination/query/QueryResult.h"
#include "coordination/snapshot/Snapshot.h"

#include <cstddef>
#include <vector>

namespace carawaypond {

/// @brief State of a query when it ends.
struct QueryFinalState {
  const PinnedSnapshot &Pinned;
  std::vector<ShardAnswer> Answers;
  std::vector<MissingShard> Missing;
  bool Repeatable = true;
  std::size_t PossiblyRun = 0; ///< Number of sends that may have run.
};

/// @brief Decides the result for the caller. "Not run" requires that no send
/// can have run. A request that is not repeatable is "unknown" as soon as one
/// send without an answer may have run.
[[nodiscard]] QueryResult conclude(QueryFinalState End);

} // namespace carawaypond

#pragma once

#include "coordination/query/QueryResult.h"
#include "coordination/snapshot/Snapshot.h"

#include <cstddef>
#include <vector>

namespace carawaypond {

/// @brief What is known of a query when it ends.
struct QueryEnd {
  const PinnedSnapshot &Pinned;
  std::vector<ShardAnswer> Answers;
  std::vector<MissingShard> Missing;
  bool Repeatable = true;
  std::size_t PossiblyRun = 0; ///< Sends not known to have not run.
};

/// @brief Decides what the caller is told. "Not run" needs that no send can
/// have run. A request that is not repeatable is "unknown" as soon as one send
/// without an answer may have run.
[[nodiscard]] QueryResult conclude(QueryEnd End);

} // namespace carawaypond

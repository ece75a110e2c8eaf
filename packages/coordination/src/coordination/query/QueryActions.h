#pragma once

#include "coordination/query/QueryResult.h"
#include "coordination/subrequest/Subrequest.h"
#include "core/id/Ids.h"

#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Send this subrequest to its owner, which may be this VM.
struct SendSubrequest {
  VmName Owner;
  Subrequest Request;
};

/// @brief Tell the owner that the answer is no longer needed.
struct CancelSubrequest {
  VmName Owner;
  SubrequestId Id;
};

/// @brief Answer the caller. Emitted exactly once, as the last action.
struct FinishQuery {
  QueryResult Result;
};

/// @brief An action that the caller of a QueryRun must perform.
using QueryAction = std::variant<SendSubrequest, CancelSubrequest, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

} // namespace carawaypond

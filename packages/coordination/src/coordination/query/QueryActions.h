#pragma once

#include "coordination/query/QueryResult.h"
#include "coordination/subrequest/Subrequest.h"
#include "core/id/Ids.h"

#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Hand this subrequest to its owner, which may be this VM.
struct SendSubrequest {
  VmName Owner;
  Subrequest Request;
};

/// @brief Tell the owner that the answer is no longer wanted.
struct CancelSubrequest {
  VmName Owner;
  SubrequestId Id;
};

/// @brief Answer the caller. Comes once, last.
struct FinishQuery {
  QueryResult Result;
};

/// @brief What a coordinator wants done for a query.
using QueryAction = std::variant<SendSubrequest, CancelSubrequest, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

} // namespace carawaypond

#pragma once

#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "core/id/Ids.h"

#include <variant>
#include <vector>

namespace carawaypond {

/// @brief Send this subrequest to this backend server.
struct SendAttempt {
  AttemptId Attempt;
  ServerName Server;
  Subrequest Request;
};

/// @brief Cancel an attempt whose answer is no longer needed. Its slot stays in
/// use until its end is reported.
struct CancelAttempt {
  AttemptId Attempt;
  ServerName Server;
};

/// @brief Deliver the outcome to the coordinator of the subrequest.
struct CompleteSubrequest {
  SubrequestId Id;
  SubOutcome Outcome;
};

/// @brief An action that the caller of a queue must perform.
using QueueAction =
    std::variant<SendAttempt, CancelAttempt, CompleteSubrequest>;
using QueueActions = std::vector<QueueAction>;

/// @brief A backend server's answer other than the records.
struct ServerRefusal {
  SubReason Reason = SubReason::Failed;
  bool Ran = true;                  ///< False: did not run and will not run.
  std::vector<VersionRange> Served; ///< Set if the version was refused.
};

} // namespace carawaypond

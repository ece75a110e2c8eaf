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

/// @brief Cancel an attempt whose answer is no longer wanted. Its slot stays
/// taken until its end is reported.
struct CancelAttempt {
  AttemptId Attempt;
  ServerName Server;
};

/// @brief Hand the outcome to whoever enqueued the subrequest.
struct CompleteSubrequest {
  SubrequestId Id;
  SubOutcome Outcome;
};

/// @brief What a queue wants done.
using QueueAction =
    std::variant<SendAttempt, CancelAttempt, CompleteSubrequest>;
using QueueActions = std::vector<QueueAction>;

/// @brief A backend server's answer other than the records.
struct ServerRefusal {
  SubReason Reason = SubReason::Failed;
  bool Ran = true;                  ///< False: it did not run and will not.
  std::vector<VersionRange> Served; ///< With a refusal of the version.
};

} // namespace carawaypond

#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/subrequest/SubReason.h"
#include "coordination/subrequest/Subrequest.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond::internal {

/// @brief A subrequest that has not completed.
struct QueueEntry {
  Subrequest Request;
  std::vector<AttemptId> OutstandingAttempts; ///< End not reported yet.
  std::vector<ServerName> Tried; ///< Servers that it was sent to; never again.
  std::vector<ReplicaVersions> VersionRefusals; ///< Versions that they serve.
  std::optional<TimePoint> HedgeAt;
  std::uint32_t Sends = 0;
  std::uint32_t BudgetedSends = 0; ///< Tokens spent on sends after the first.
  bool IsWaiting = false;          ///< Queued in the scheduler.
  bool MayHaveRun = false;         ///< In an attempt that has ended.
  SubReason Reason = SubReason::Deadline; ///< Of the latest failure.
};

/// @brief A subrequest at a backend server.
struct QueueAttempt {
  SubrequestId Request;
  ServerName Server;
  ClassName Class;
  TimePoint SentAt;
};

} // namespace carawaypond::internal

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
  std::vector<AttemptId> Live;       ///< Attempts whose end is not known.
  std::vector<ServerName> Tried;     ///< Not tried again.
  std::vector<ReplicaVersions> Gone; ///< What refusing replicas serve instead.
  std::optional<TimePoint> HedgeAt;
  std::uint32_t Sends = 0;
  std::uint32_t PaidExtras = 0; ///< Tokens spent on sends after the first.
  bool Waiting = false;         ///< In the scheduler.
  bool MayHaveRun = false;      ///< By an attempt that is no longer live.
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

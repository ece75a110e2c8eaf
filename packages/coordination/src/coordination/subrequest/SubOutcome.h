#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/subrequest/SubReason.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief The shard answered.
struct SubAnswered {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::shared_ptr<const std::string> Payload; ///< The records, as JSON.
};

/// @brief The subrequest did not run and will not run.
struct SubNotRun {
  SubReason Reason = SubReason::Deadline;
};

/// @brief The subrequest may have run, or may still run.
struct SubInDoubt {
  SubReason Reason = SubReason::Timeout;
};

/// @brief No replica serves the pinned version; the subrequest did not run.
struct SubVersionGone {
  std::vector<ReplicaVersions> Served; ///< Versions that the replicas serve.
};

/// @brief How a subrequest ended.
using SubOutcome =
    std::variant<SubAnswered, SubNotRun, SubInDoubt, SubVersionGone>;

} // namespace carawaypond

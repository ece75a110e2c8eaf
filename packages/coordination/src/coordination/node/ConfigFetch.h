#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Ask the digest's sender for what it holds that is newer: send
/// Held, and pass its ConfigBook::newerThan() to ControlNode::onFetched().
struct ConfigFetch {
  Digest Heard;                    ///< Why: it shows something newer.
  std::optional<TimePoint> SentAt; ///< Set when it came in a reply.
  std::vector<ConfigHeld> Held;    ///< Versions that this VM holds.
};

} // namespace carawaypond

#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Request for the newer configurations of a digest's sender: send Held,
/// and pass the sender's ConfigRegistry::newerThan() to
/// ControlNode::onFetched().
struct ConfigFetch {
  Digest Heard;                        ///< The digest that shows newer ones.
  std::optional<TimePoint> SentAt;     ///< Set if the digest came in a reply.
  std::vector<HeldConfigVersion> Held; ///< Versions that this VM holds.
};

} // namespace carawaypond

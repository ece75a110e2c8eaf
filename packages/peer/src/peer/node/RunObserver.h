#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Error.h"
#include "peer/message/PeerResult.h"

#include <functional>
#include <vector>

namespace carawaypond::peer {

/// @brief Hears what became of a run's subrequests: each one ends in exactly
/// one OnResult or one OnLost. Called on the node's traffic thread; must not
/// block.
struct RunObserver {
  std::function<void(PeerResult)> OnResult;
  /// The subrequests listed get no result. NotConnected, Unavailable and
  /// TooLarge: the owner did not take them. ConnectionLost and TimedOut: they
  /// may run.
  std::function<void(const Error &, const std::vector<SubrequestId> &)> OnLost;
};

} // namespace carawaypond::peer

#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Error.h"
#include "peer/message/PeerResult.h"

#include <functional>
#include <vector>

namespace carawaypond::peer {

/// @brief Callbacks for the subrequests of a run. Each subrequest is reported
/// exactly once, by OnResult or OnLost. Called on the node's traffic thread;
/// must not block.
struct RunObserver {
  std::function<void(PeerResult)> OnResult;
  /// The listed subrequests get no result. NotConnected, Unavailable and
  /// TooLarge: the owner did not accept them. ConnectionLost and TimedOut: they
  /// may run.
  std::function<void(const Error &, const std::vector<SubrequestId> &)> OnLost;
};

} // namespace carawaypond::peer

#pragma once

#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "core/time/Time.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"

namespace carawaypond::daemon {

/// @brief Writes a subrequest as another VM gets it.
[[nodiscard]] peer::PeerSubrequest toPeer(const Subrequest &Request,
                                          TimePoint Now, WallMillis WallNow);

/// @brief Reads a subrequest from another VM.
/// @param Id The id that it has here.
[[nodiscard]] Subrequest fromPeer(const peer::PeerSubrequest &Request,
                                  SubrequestId Id, TimePoint Now,
                                  WallMillis WallNow);

/// @brief Writes an outcome as another VM gets it.
/// @param Id The id that the other VM gave the subrequest.
[[nodiscard]] peer::PeerResult toPeer(SubrequestId Id,
                                      const SubOutcome &Outcome);

/// @brief Reads an outcome from another VM; an unknown reason is a timeout.
[[nodiscard]] SubOutcome fromPeer(const peer::PeerResult &Result,
                                  ShardId Shard);

} // namespace carawaypond::daemon

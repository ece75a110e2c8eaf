#pragma once

#include "coordination/subrequest/SubOutcome.h"
#include "coordination/subrequest/Subrequest.h"
#include "core/time/Time.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"

namespace carawaypond::daemon {

/// @brief Converts a subrequest to the message sent to another VM.
[[nodiscard]] peer::PeerSubrequest toPeer(const Subrequest &Request,
                                          TimePoint Now, WallMillis WallNow);

/// @brief Converts a message from another VM to a subrequest.
/// @param Id The id of the subrequest on this VM.
[[nodiscard]] Subrequest fromPeer(const peer::PeerSubrequest &Request,
                                  SubrequestId Id, TimePoint Now,
                                  WallMillis WallNow);

/// @brief Converts an outcome to the message sent to another VM.
/// @param Id The id of the subrequest on the other VM.
[[nodiscard]] peer::PeerResult toPeer(SubrequestId Id,
                                      const SubOutcome &Outcome);

/// @brief Converts a message from another VM to an outcome. An unknown reason
/// is treated as a timeout.
[[nodiscard]] SubOutcome fromPeer(const peer::PeerResult &Result,
                                  ShardId Shard);

} // namespace carawaypond::daemon

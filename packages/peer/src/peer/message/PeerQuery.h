#pragma once

#include "core/time/Time.h"

#include <string>

namespace carawaypond::peer {

/// @brief A query that is not repeatable, forwarded to its ticket's VM.
struct PeerQuery {
  std::string Ticket{};
  WallMillis Deadline{};
  std::string Body{}; ///< The caller's request body.
};

} // namespace carawaypond::peer

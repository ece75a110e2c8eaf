#pragma once

#include "core/time/Time.h"

#include <string>

namespace carawaypond::peer {

/// @brief A non-repeatable query, forwarded to the VM that issued its ticket.
struct PeerQuery {
  std::string Ticket{};
  WallMillis Deadline{};
  std::string Body{}; ///< The caller's request body.
};

} // namespace carawaypond::peer

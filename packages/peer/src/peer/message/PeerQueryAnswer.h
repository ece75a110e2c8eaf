#pragma once

#include <cstdint>
#include <string>

namespace carawaypond::peer {

/// @brief What the ticket's VM answers, to be passed on to the caller.
struct PeerQueryAnswer {
  std::uint16_t Status = 0; ///< HTTP status.
  std::string Body{};
};

} // namespace carawaypond::peer

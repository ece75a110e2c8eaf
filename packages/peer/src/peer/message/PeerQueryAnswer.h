#pragma once

#include <cstdint>
#include <string>

namespace carawaypond::peer {

/// @brief Answer of the VM that issued the ticket; relayed to the caller.
struct PeerQueryAnswer {
  std::uint16_t Status = 0; ///< HTTP status.
  std::string Body{};
};

} // namespace carawaypond::peer

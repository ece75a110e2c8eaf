#pragma once

#include "Workload.h"

#include <string>

namespace carawaypond::bench {

/// @brief Forwards subrequests through two PeerNodes, including the hops
/// between their threads and the traffic threads.
/// @return The report, one JSON line.
[[nodiscard]] std::string measurePeerNode(const Workload &Load);

/// @brief Forwards subrequests as length-prefixed Cap'n Proto messages over
/// Asio sockets on the traffic threads.
[[nodiscard]] std::string measureFramedSocket(const Workload &Load);

} // namespace carawaypond::bench

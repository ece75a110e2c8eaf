#pragma once

#include "Workload.h"

#include <string>

namespace carawaypond::bench {

/// @brief Forwards subrequests through two PeerNodes, with the hops between
/// their threads and the traffic threads.
/// @return The report, one JSON line.
[[nodiscard]] std::string measureNode(const Workload &Load);

/// @brief Forwards them as length-prefixed Cap'n Proto messages over Asio
/// sockets on the traffic threads.
[[nodiscard]] std::string measureFramed(const Workload &Load);

} // namespace carawaypond::bench

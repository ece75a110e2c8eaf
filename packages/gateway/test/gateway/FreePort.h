#pragma once

#include <cstdint>

namespace carawaypond::gateway {

/// @return A port that was free on all loopback addresses, for TCP and UDP.
[[nodiscard]] std::uint16_t freePort();

} // namespace carawaypond::gateway

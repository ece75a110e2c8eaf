#pragma once

#include <cstdint>

namespace carawaypond::gateway {

/// @return A port that was free on all local addresses for both TCP and UDP.
[[nodiscard]] std::uint16_t freePort();

} // namespace carawaypond::gateway

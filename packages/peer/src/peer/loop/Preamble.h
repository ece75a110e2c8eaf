#pragma once

#include <array>

namespace carawaypond::peer {

/// @brief First bytes of a connection; they select the protocol.
using Preamble = std::array<char, 8>;

inline constexpr Preamble RpcPreamble{'c', 'w', 'p', '-', 'r', 'p', 'c', '1'};
inline constexpr Preamble TrafficPreamble{'c', 'w', 'p', '-',
                                          't', 'r', 'f', '1'};

} // namespace carawaypond::peer

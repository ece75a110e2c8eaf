#pragma once

#include <cstddef>

namespace carawaypond::http {

/// Size of a read from a connection, unless its buffer has grown for a longer
/// head.
inline constexpr std::size_t ReadBytes = std::size_t{4} << 10;

} // namespace carawaypond::http

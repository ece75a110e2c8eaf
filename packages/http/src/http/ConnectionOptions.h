#pragma once

#include <cstddef>

namespace carawaypond::http {

/// @brief Limits on what a Connection reads.
struct ConnectionOptions {
  std::size_t MaxBodyBytes = std::size_t{16} << 20;
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
};

} // namespace carawaypond::http

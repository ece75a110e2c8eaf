#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace carawaypond::standins {

/// @brief How a listener treats connections and bodies.
struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 lets the system pick.
  /// Connections beyond this are closed at once.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  Duration ConnectionCost{0}; ///< Set-up time before the first request is read.
  std::uint64_t MaxBodyBytes = 4U << 20U;
};

} // namespace carawaypond::standins

#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace carawaypond::standins {

/// @brief Address and limits of an HttpServer.
struct HttpServerOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0; ///< 0 lets the system choose a free port.
  /// Connections beyond this limit are closed on accept.
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  Duration ConnectionCost{0}; ///< Set-up time before the first request is read.
  std::uint64_t MaxBodyBytes = 4U << 20U;
};

} // namespace carawaypond::standins

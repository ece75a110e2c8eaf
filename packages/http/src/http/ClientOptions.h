#pragma once

#include "http/ConnectionOptions.h"

#include <cstddef>
#include <string>

namespace carawaypond::http {

/// @brief Where a Client connects, and what it keeps.
struct ClientOptions {
  std::string Address;     ///< "ip:port".
  std::size_t MaxIdle = 4; ///< Connections kept open between requests.
  ConnectionOptions Limits = {};
};

} // namespace carawaypond::http

#pragma once

#include "http/ConnectionOptions.h"

#include <cstddef>
#include <string>

namespace carawaypond::http {

/// @brief Server address, pool size and read limits of a Client.
struct ClientOptions {
  std::string Address;     ///< "ip:port".
  std::size_t MaxIdle = 4; ///< Connections kept open between requests.
  ConnectionOptions Limits = {};
};

} // namespace carawaypond::http

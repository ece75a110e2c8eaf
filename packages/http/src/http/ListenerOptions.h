#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <string>

namespace carawaypond::http {

/// @brief Where a Listener listens and what it allows.
struct ListenerOptions {
  std::string Address = "127.0.0.1:0"; ///< The system picks for port 0.
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  std::size_t MaxHeaderBytes = std::size_t{8} << 10;
  Milliseconds HeaderTimeout{5'000}; ///< From a request's first byte.
  Milliseconds IdleTimeout{60'000};  ///< Between requests.
  Milliseconds BodyTimeout{10'000};
  Milliseconds WriteTimeout{10'000};
  std::size_t MaxConnections = 4096;
  std::size_t MaxConnectionsPerAddress = 1024;
  bool ReusePort = false; ///< Lets several listeners share the port.
  /// Whether a connection that is closed while idle gets a 408 first.
  bool AnnounceIdleClose = true;
  /// Whether requests learn that their caller closed the connection.
  bool WatchCallers = false;
};

} // namespace carawaypond::http

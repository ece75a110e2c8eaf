#pragma once

#include "core/time/Time.h"

#include <cstddef>
#include <string>

namespace carawaypond::http {

/// @brief Address, limits and timeouts of a Listener.
struct ListenerOptions {
  std::string Address = "127.0.0.1:0"; ///< The system picks a port for 0.
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  std::size_t MaxHeaderBytes = std::size_t{8} << 10;
  Milliseconds HeaderTimeout{5'000}; ///< From a request's first byte.
  Milliseconds IdleTimeout{60'000};  ///< Between requests.
  Milliseconds BodyTimeout{10'000};
  Milliseconds WriteTimeout{10'000};
  /// Memory that the requests of all connections use together, not counting
  /// MemoryReservation::FreeBytes of each. A request beyond it gets 503.
  std::size_t MaxRequestMemory = std::size_t{256} << 20;
  std::size_t MaxConnections = 4096;
  std::size_t MaxConnectionsPerAddress = 1024;
  bool ReusePort = false; ///< Lets several listeners share the port.
  /// Whether a connection that is closed while idle gets a 408 first.
  bool AnnounceIdleClose = true;
  /// Whether Request::Caller is set, so that handlers learn that the caller
  /// closed the connection.
  bool WatchCallers = false;
};

} // namespace carawaypond::http

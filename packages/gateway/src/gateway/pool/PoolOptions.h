#pragma once

#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond::gateway {

/// @brief Timeouts and limits of the connections to replicas.
struct PoolOptions {
  Milliseconds ConnectTimeout{900};
  /// Idle timeout of a connection whose replica does not send one.
  Milliseconds DefaultIdleTimeout{4'000};
  /// How much earlier than its replica's idle timeout a connection is no longer
  /// reused.
  Milliseconds IdleMargin{300};
  /// Same as IdleMargin, for requests that are not idempotent.
  Milliseconds StrictIdleMargin{700};
  std::size_t MaxHeaderBytes = std::size_t{64} << 10;
  std::size_t MaxBodyBytes = std::size_t{64} << 20;
  /// Memory that all answers may use together until callers have them, not
  /// counting MemoryReservation::FreeBytes of each.
  std::size_t MaxReplyMemory = std::size_t{64} << 20;
};

} // namespace carawaypond::gateway

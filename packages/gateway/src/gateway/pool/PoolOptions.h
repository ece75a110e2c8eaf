#pragma once

#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond::gateway {

/// @brief How connections to replicas are made and kept.
struct PoolOptions {
  Milliseconds ConnectTimeout{900};
  /// How long a connection whose replica states no timeout is reused.
  Milliseconds DefaultIdleTimeout{4'000};
  /// By how much sooner than its replica a connection is given up.
  Milliseconds IdleMargin{300};
  /// Like it, for requests that are not idempotent.
  Milliseconds StrictIdleMargin{700};
  std::size_t MaxHeaderBytes = std::size_t{64} << 10;
  std::size_t MaxBodyBytes = std::size_t{64} << 20;
  /// What answers that are being read may take together, beside the first bytes
  /// of each.
  std::size_t MaxReplyMemory = std::size_t{64} << 20;
};

} // namespace carawaypond::gateway

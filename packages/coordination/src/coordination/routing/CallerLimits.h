#pragma once

#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond {

/// @brief Limits on the size and duration of callers' requests.
struct CallerLimits {
  std::size_t MaxHeaderBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  Milliseconds HeaderTimeout{5'000};
  Milliseconds IdleTimeout{60'000};
};

} // namespace carawaypond

#pragma once

#include "core/time/Time.h"

#include <ctime>

namespace carawaypond {

/// @brief Clock that also counts the time for which the machine was suspended.
///
/// The monotonic clock stands still meanwhile. Whatever must lapse by itself,
/// such as a lease, is dated by this clock.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is that of the standard library.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept {
    timespec Since{};
    clock_gettime(CLOCK_BOOTTIME, &Since);
    return time_point(std::chrono::seconds(Since.tv_sec) +
                      std::chrono::nanoseconds(Since.tv_nsec));
  }
};

/// @brief Time on this VM's boot clock.
using BootTime = BootClock::time_point;

/// @brief Reads this VM's boot clock.
[[nodiscard]] inline BootTime bootNow() { return BootClock::now(); }

} // namespace carawaypond

#pragma once

#include <chrono>
#include <cstdint>

namespace carawaypond {

/// @brief Time on this VM's monotonic clock. Code that makes decisions
/// takes the time as a parameter and never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// @brief Wall-clock time in milliseconds since the Unix epoch, used only for
/// absolute deadlines that cross processes.
struct WallMillis {
  std::int64_t Value = 0;

  friend auto operator<=>(const WallMillis &, const WallMillis &) = default;
};

/// @brief Reads this VM's wall clock.
[[nodiscard]] inline WallMillis wallNow() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::duration_cast<Milliseconds>(Since).count()};
}

/// @brief Reads this VM's monotonic clock.
[[nodiscard]] inline TimePoint monotonicNow() {
  return std::chrono::steady_clock::now();
}

/// @brief Converts an absolute wall-clock deadline into a monotonic one.
/// @param Deadline The deadline on the wall clock.
/// @param Now The monotonic time at which @p WallNow was read.
/// @param WallNow The wall-clock time read with @p Now.
[[nodiscard]] inline TimePoint toMonotonic(WallMillis Deadline, TimePoint Now,
                                           WallMillis WallNow) {
  return Now + Milliseconds(Deadline.Value - WallNow.Value);
}

/// @brief Converts a monotonic deadline into an absolute wall-clock one,
/// rounded down.
[[nodiscard]] inline WallMillis toWall(TimePoint Deadline, TimePoint Now,
                                       WallMillis WallNow) {
  auto Left = std::chrono::floor<Milliseconds>(Deadline - Now);
  return {WallNow.Value + Left.count()};
}

} // namespace carawaypond

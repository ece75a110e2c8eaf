#pragma once

#include <cstdint>

namespace carawaypond::platform {

/// @brief Numbers of calls to the platform, which counts each call; a watch is
/// one call.
struct CallCounts {
  std::uint64_t Gets = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Watches = 0;
  std::uint64_t VmLists = 0;
  std::uint64_t Failed = 0; ///< Calls of any kind that ended in an error.
};

} // namespace carawaypond::platform

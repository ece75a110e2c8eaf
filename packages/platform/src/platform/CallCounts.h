#pragma once

#include <cstdint>

namespace carawaypond::platform {

/// @brief Calls to the platform, which counts each one; a waiting watch is one.
struct CallCounts {
  std::uint64_t Gets = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Puts = 0;
  std::uint64_t Watches = 0;
  std::uint64_t VmLists = 0;
  std::uint64_t Failed = 0; ///< Of all these, those that ended in an error.
};

} // namespace carawaypond::platform

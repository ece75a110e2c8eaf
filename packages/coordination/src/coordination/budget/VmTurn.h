#pragma once

#include <cstdint>

namespace carawaypond {

/// @brief This VM's position among the VMs that take turns.
struct VmTurn {
  std::uint64_t Rank = 0;
  std::uint64_t Count = 1; ///< Of all VMs, at least 1.

  friend bool operator==(const VmTurn &, const VmTurn &) = default;
};

} // namespace carawaypond

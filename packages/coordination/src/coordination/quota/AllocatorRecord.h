#pragma once

#include "core/id/Ids.h"

#include <cstdint>
#include <string>

namespace carawaypond {

/// @brief The VM that allocates quotas, as the store and the VMs know it.
struct AllocatorRecord {
  VmName Vm;
  Incarnation IncarnationNumber;
  std::string Address;    ///< "ip:port" for other VMs.
  std::uint64_t Term = 0; ///< Greater for each allocator that follows.
  /// Whether no earlier lease can still be in use: it has allocated.
  bool IsSettled = false;
  bool IsReleased = false; ///< It allocates no more.
  /// Of the store when this was written, as far as the writer knew. A record of
  /// an earlier era than the one it is read in comes from an older copy: later
  /// ones may have been lost.
  StoreEra Era;
  /// Grows with each renewal, which so changes the stored object.
  std::uint64_t Renewal = 0;

  friend bool operator==(const AllocatorRecord &,
                         const AllocatorRecord &) = default;
};

} // namespace carawaypond

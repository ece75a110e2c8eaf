#pragma once

#include "coordination/membership/VmRecord.h"
#include "core/time/Time.h"

namespace carawaypond {

/// @brief Capacity and current load of a VM.
struct VmLoad {
  double Capacity = 0;    ///< Processor cores.
  double AttemptRate = 0; ///< Requests to replicas per second.
  /// Whether callers ask for much more than usual.
  bool IsDemandHigh = false;

  friend bool operator==(const VmLoad &, const VmLoad &) = default;
};

/// @brief A VM with its load.
struct LoadedVm {
  VmRecord Record;
  VmLoad Load;
  bool ReadsStore = false; ///< Whether the store answers this VM.
  /// Time since its last heartbeat, if another VM relays it.
  Milliseconds Silence{0};
};

} // namespace carawaypond

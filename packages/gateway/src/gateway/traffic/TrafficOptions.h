#pragma once

#include "coordination/placement/PlacementOptions.h"
#include "coordination/run/RunOptions.h"
#include "core/id/Ids.h"
#include "gateway/pool/PoolOptions.h"

#include <cstddef>
#include <optional>
#include <string>

namespace carawaypond::gateway {

struct TrafficOptions {
  VmName Vm;                      ///< This VM.
  Incarnation IncarnationNumber;  ///< Of this VM.
  std::string CallerAddress;      ///< "ip:port"
  std::size_t MaxCallers = 1'024; ///< Maximum connections from callers.
  /// See http::ListenerOptions::MaxRequestMemory.
  std::size_t MaxRequestMemory = std::size_t{32} << 20;
  /// See ConfigProof.
  std::optional<Milliseconds> RevocationBound;
  PlacementOptions Placement;
  PoolOptions Pool;
  RunOptions Run;
};

} // namespace carawaypond::gateway

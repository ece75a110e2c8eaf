#pragma once

#include "core/time/Time.h"

#include <cstdint>

namespace carawaypond::standins {

/// @brief How an index's versions advance and spread to its replicas.
struct VersionOptions {
  std::uint64_t First = 1;
  std::uint64_t Kept = 4;   ///< Versions that a replica serves at once.
  std::uint64_t MaxLag = 1; ///< Versions by which a replica may lag.
  Milliseconds Every{0};    ///< Time between versions; 0 for never.
};

} // namespace carawaypond::standins

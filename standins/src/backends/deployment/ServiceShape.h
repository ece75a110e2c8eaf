#pragma once

#include "backends/deployment/RecordKind.h"
#include "backends/deployment/ServiceTimeOptions.h"

#include <cstdint>
#include <string>

namespace carawaypond::standins {

/// @brief Configuration shared by a number of services.
struct ServiceShape {
  std::string Name;
  std::uint32_t Services = 0; ///< Numbered from 01; 0 for one, unnumbered.
  RecordKind Records = RecordKind::Claims;
  std::uint32_t Shards = 1;
  std::uint32_t Replicas = 1; ///< Of each shard.
  std::uint32_t ShardsPerServer = 1;
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  std::uint32_t QueueLimit = 0; ///< Subrequests that wait for a slot.
  Microseconds ConnectionCost{0};
  ServiceTimeOptions ServiceTime;
};

} // namespace carawaypond::standins

#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <string>

namespace carawaypond::backend {

/// @brief One subrequest as sent to a backend server.
struct SearchRequest {
  std::string Id; ///< Unique over all VMs and incarnations.
  ServiceName Service;
  ShardId Shard;
  IndexVersion Version;
  std::uint64_t Layout = 0;
  WallMillis WallDeadline; ///< The server refuses to start after this.
  TimePoint Deadline;      ///< When this side stops waiting.
  bool Repeatable = true;
  std::string Request; ///< The caller's request, as JSON text.
};

} // namespace carawaypond::backend

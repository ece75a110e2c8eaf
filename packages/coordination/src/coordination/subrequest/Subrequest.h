#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace carawaypond {

/// @brief One send of one subrequest to one backend server.
using AttemptId = StrongId<struct AttemptIdTag, std::uint64_t>;

/// @brief The part of a query for one shard, at one pinned index version.
struct Subrequest {
  SubrequestId Id; ///< Unique within the VM that holds the subrequest.
  ServiceName Service;
  ClassName Class;
  ShardId Shard;
  std::optional<ServerName> Replica; ///< Set if each replica has its own queue.
  IndexVersion Version;
  std::uint64_t Layout = 0;
  TimePoint Deadline;
  bool Repeatable = true;
  std::shared_ptr<const std::string> Request; ///< The caller's request (JSON).
};

} // namespace carawaypond

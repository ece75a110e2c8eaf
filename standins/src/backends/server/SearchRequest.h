#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <cstdint>
#include <string>

namespace carawaypond::standins {

/// @brief A subrequest as `POST /v1/search` carries it.
struct SearchRequest {
  std::string Id;
  std::string Service;
  ShardId Shard;
  IndexVersion Version;
  std::uint64_t Layout = 0;
  WallMillis Deadline;
  std::string EchoToken;  ///< `{"echo": token}`, else empty.
  std::string MatchField; ///< `{"match": field, "value": v}`, else empty.
  std::string MatchValue;
};

/// @return The subrequest, or InvalidInput naming the JSON path.
[[nodiscard]] Result<SearchRequest> parseSearchRequest(const std::string &Body);

} // namespace carawaypond::standins

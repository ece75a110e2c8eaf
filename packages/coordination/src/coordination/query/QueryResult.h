#pragma once

#include "coordination/subrequest/SubReason.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief One shard's answer.
struct ShardAnswer {
  ShardId Shard;
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::shared_ptr<const std::string> Payload; ///< The records, as JSON.
};

/// @brief A shard without an answer in a result, and the reason.
struct MissingShard {
  ShardId Shard;
  SubReason Reason = SubReason::Timeout;
};

/// @brief Every shard of the snapshot answered.
struct QueryComplete {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::vector<ShardAnswer> Answers;
};

/// @brief Some shards of the snapshot answered, and the others did not.
struct QueryPartial {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::vector<ShardAnswer> Answers;
  std::vector<MissingShard> Missing;

  /// @return How many shards the snapshot has.
  [[nodiscard]] std::size_t total() const {
    return Answers.size() + Missing.size();
  }
};

/// @brief No shard ran the request, and none will run it.
struct QueryNotRun {
  SubReason Reason = SubReason::Deadline;
};

/// @brief The request may have run, and there is no result.
struct QueryUnknown {
  SubReason Reason = SubReason::Timeout;
};

/// @brief The result for the caller; there are no other outcomes.
using QueryResult =
    std::variant<QueryComplete, QueryPartial, QueryNotRun, QueryUnknown>;

} // namespace carawaypond

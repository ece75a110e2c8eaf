#pragma once

#include "core/id/StrongId.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief Hash of all that a caller's request holds but its id: two requests
/// with the same content do the same.
using ContentHash = StrongId<struct ContentHashTag, std::uint64_t>;
/// @brief Hash of a replica's name and start.
using ReplicaHash = StrongId<struct ReplicaHashTag, std::uint32_t>;
/// @brief Hash of a request's id.
using RequestHash = StrongId<struct RequestHashTag, std::uint32_t>;

/// @brief A replica that ended while it ran a request.
struct ReplicaCrash {
  ReplicaHash Replica;
  RequestHash Request;
  Milliseconds Age{0}; ///< At the time of the report.

  friend bool operator==(const ReplicaCrash &, const ReplicaCrash &) = default;
};

/// @brief What a VM knows of requests with one content.
struct QuarantineReport {
  ContentHash Content;
  std::vector<ReplicaCrash> Crashes;
  /// Time since a replica last survived such a request.
  std::optional<Milliseconds> SurvivedAge;

  friend bool operator==(const QuarantineReport &,
                         const QuarantineReport &) = default;
};

} // namespace carawaypond

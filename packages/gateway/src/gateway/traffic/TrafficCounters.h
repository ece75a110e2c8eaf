#pragma once

#include <atomic>
#include <cstdint>

namespace carawaypond::gateway {

/// @brief What traffic has done since the start. Written by the traffic thread,
/// read by any.
struct TrafficCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter Requests = 0;
  Counter InFlight = 0;
  Counter Complete = 0; ///< Answers with every shard, or relayed successes.
  Counter Partial = 0;  ///< Answers that leave shards out.
  Counter ReplicaFailures = 0; ///< Failures of a replica that were relayed.
  Counter Refused = 0;
  Counter Failed = 0;
  Counter NotFound = 0;
  Counter CallersGone = 0;
  Counter Attempts = 0;
  Counter ExtraAttempts = 0; ///< Hedges and retries.
  Counter AttemptsRefused = 0;
  Counter AttemptsLost = 0;
  Counter AttemptsAbandoned = 0;
  Counter AttemptsToLeaving = 0; ///< Sent to a replica known to leave or gone.
  Counter Connections = 0;       ///< To replicas, opened.
};

} // namespace carawaypond::gateway

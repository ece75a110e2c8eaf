#pragma once

#include "gateway/metrics/ReplicaCounts.h"

#include <atomic>
#include <cstdint>

namespace carawaypond::gateway {

/// @brief Counters of the traffic thread since the start. Written by that
/// thread only; any thread may read them.
struct TrafficCounters {
  using Counter = std::atomic<std::uint64_t>;

  Counter Requests = 0;
  Counter InFlight = 0;
  Counter Complete = 0; ///< Answers with every shard, or relayed successes.
  Counter Partial = 0;  ///< Answers without some of the shards.
  Counter ReplicaFailures = 0; ///< Relayed error responses of replicas.
  Counter Refused = 0;
  Counter Failed = 0;
  Counter NotFound = 0;
  Counter Unauthorized = 0;     ///< Requests without a key of a workspace.
  Counter OverQuota = 0;        ///< Requests over the quota of their workspace.
  Counter AdmissionRefused = 0; ///< Requests refused as replicas are short.
  Counter AdmissionWaits = 0;   ///< Requests that waited for admission.
  Counter Overloads = 0;        ///< Limits that began.
  Counter OverloadedTargets = 0; ///< Limits in force.
  Counter CallersGone = 0;
  /// Connections of callers that were closed, as a request cost far more work
  /// than its bytes carry.
  Counter CallersOverWork = 0;
  Counter DemandHigh = 0;    ///< 1 while callers ask for much more than usual.
  Counter ReplicasEnded = 0; ///< Attempts under which a replica ended.
  Counter Quarantined = 0;   ///< Contents in quarantine, at present.
  Counter QuarantineRefused = 0; ///< Requests refused as in quarantine.
  Counter Attempts = 0;
  Counter ExtraAttempts = 0; ///< Hedges and retries.
  Counter AttemptsRefused = 0;
  Counter AttemptsLost = 0;
  /// Lost attempts whose answer cost far more work than its bytes carry.
  Counter AttemptsOverWork = 0;
  Counter AttemptsAbandoned = 0;
  Counter AttemptsWithdrawn = 0;    ///< Not needed any more, or not allowed.
  Counter Connections = 0;          ///< Connections opened to replicas.
  Counter ReplicasReportedSlow = 0; ///< By several VMs, at present.
  Counter ReplicasRateBound = 0;    ///< Cold replicas with a bound, at present.
  Counter LongestDelayMs = 0; ///< By which a timer of the thread ran late.
  ReplicaCounts ByReplica;    ///< Empty unless shares are bounded.
};

} // namespace carawaypond::gateway

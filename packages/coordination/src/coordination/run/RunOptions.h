#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// @brief Time limits and hedging of requests.
struct RunOptions {
  /// Part of the latency objective that is reserved for the way between the
  /// caller and this VM.
  Milliseconds CallerAllowance{13};
  /// Time between the deadline sent to replicas and the answer to the caller.
  Milliseconds AnswerAllowance{8};
  Milliseconds MinHedgeDelay{6};
  Milliseconds Tick{4}; ///< Interval of the check for late attempts.
  /// How long an attempt that lost against another one may still run before its
  /// connection is closed.
  Milliseconds LoserGrace{100};
  /// Share of the time between the objective and the deadline during which an
  /// answer waits for more shards.
  double LateWaitShare = 0.5;
  /// Extra arrivals of the budget that hedges leave for retries.
  double HedgeReserve = 2;
  /// Requests that a hedge leaves of what a replica's limit allows.
  double HedgeLimitReserve = 1;
};

} // namespace carawaypond

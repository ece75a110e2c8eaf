#pragma once

#include "core/time/Time.h"

namespace carawaypond {

/// @brief How requests wait, hedge and end.
struct RunOptions {
  /// Part of the objective that is spent between the caller and this VM.
  Milliseconds CallerAllowance{13};
  /// Between the deadline that a replica gets and the answer to the caller.
  Milliseconds AnswerAllowance{8};
  Milliseconds MinHedgeDelay{6};
  Milliseconds Tick{4}; ///< Between two looks at attempts that are late.
  /// How long the slower of two attempts may still take to end by itself.
  Milliseconds LoserGrace{100};
  /// Part of the time left at the objective that is waited for more shards.
  double LateWaitShare = 0.5;
  /// Extra arrivals that hedges leave for retries.
  double HedgeReserve = 2;
};

} // namespace carawaypond

#pragma once

#include "core/time/Time.h"

namespace carawaypond::standins {

/// @brief How long subrequests run: log-normal, with a tail of stragglers and
/// slower for a while after a start.
struct ServiceTimeOptions {
  Microseconds Median{1000};
  double Sigma = 0.3;      ///< Spread of the logarithm.
  double TailRatio = 0.0;  ///< Part of the subrequests that are stragglers.
  double TailFactor = 1.0; ///< How much longer a straggler runs.
  Milliseconds ColdStart{0};
  double ColdFactor = 1.0; ///< Slowness at a start; falls to 1 over ColdStart.
};

} // namespace carawaypond::standins

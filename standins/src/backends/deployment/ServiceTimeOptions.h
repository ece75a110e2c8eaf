#pragma once

#include "core/time/Time.h"

namespace carawaypond::standins {

/// @brief Distribution of service times: log-normal with a tail of stragglers,
/// and longer during a cold start.
struct ServiceTimeOptions {
  Microseconds Median{1000};
  double Sigma = 0.3;      ///< Standard deviation of the logarithm.
  double TailRatio = 0.0;  ///< Fraction of subrequests that are stragglers.
  double TailFactor = 1.0; ///< Factor on a straggler's service time.
  Milliseconds ColdStart{0};
  double ColdFactor = 1.0; ///< Initial factor; falls to 1 within ColdStart.
};

} // namespace carawaypond::standins

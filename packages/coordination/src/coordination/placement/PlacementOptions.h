#pragma once

#include "coordination/budget/ArrivalBudget.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

namespace carawaypond {

/// @brief What weighs in the choice of a replica. Costs are multiples of the
/// route's median latency.
struct PlacementOptions {
  DataCentre Centre;              ///< Of this VM.
  double OtherCentreCost = 1.5;   ///< For a replica of another data centre.
  double WarmupFactor = 1.6;      ///< Slowness of a replica that warms up.
  double FailureCost = 6;         ///< For a replica that fails all requests.
  double StallCost = 8;           ///< For a replica that has stopped answering.
  double RefusalCost = 20;        ///< While a refusal is fresh.
  Milliseconds RefusalMemory{60}; ///< After the first refusal of a series.
  Milliseconds MaxRefusalMemory{1'000};
  /// How long a replica whose address another one answers at gets nothing.
  Milliseconds MisplacedMemory{5'000};
  Duration SlownessHalfLife = Milliseconds(700); ///< Without new samples.
  Milliseconds MinStall{10}; ///< Silence that counts as a stall, at least.
  double StallFactor = 3;    ///< Silence in multiples of the expected time.
  ArrivalBudgetOptions Budget;
};

} // namespace carawaypond

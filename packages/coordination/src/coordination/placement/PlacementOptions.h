#pragma once

#include "coordination/budget/ArrivalBudget.h"
#include "coordination/placement/ShareBound.h"
#include "coordination/placement/SlowReports.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>

namespace carawaypond {

/// @brief Weights for the selection of a replica. Costs are multiples of the
/// route's median latency.
struct PlacementOptions {
  VmName Vm;                    ///< This VM.
  DataCentre Centre;            ///< Of this VM.
  double OtherCentreCost = 1.5; ///< For a replica in another data centre.
  double WarmupFactor = 1.6; ///< Cost factor of a replica that is warming up.
  double FailureCost = 6;    ///< For a replica that fails all requests.
  double StallCost = 8;      ///< For a replica that has stopped answering.
  double RefusalCost = 20;   ///< Within the refusal penalty period.
  /// After the first refusal of a series; doubled for each further one.
  Milliseconds RefusalPenaltyPeriod{60};
  Milliseconds MaxRefusalPenaltyPeriod{1'000};
  /// How long a replica gets no requests after another one answered at its
  /// address.
  Milliseconds MisplacedExclusionPeriod{5'000};
  /// While there are no new samples.
  Duration SlownessHalfLife = Milliseconds(700);
  /// Minimum time without an answer that counts as a stall.
  Milliseconds MinStall{10};
  /// Stall threshold, in multiples of the expected latency.
  double StallFactor = 3;
  /// How long the share of a data centre's replicas takes to grow back after
  /// its evacuation.
  Milliseconds EvacuationReturn{5'000};
  ArrivalBudgetOptions Budget;
  TimePoint StartedAt; ///< When this VM started.
  /// Part of the rate of cold replicas that all VMs together send.
  double WarmupRateRatio = 1;
  double LimitPhase = 0; ///< LimitShare::Phase of this VM.
  TimePoint Epoch;       ///< LimitShare::Epoch.
  /// Where this VM's rotation of replicas of equal cost begins. VMs that start
  /// together and begin at the same replica would overload it. The gateway
  /// draws it where shares are bounded.
  std::uint32_t RotationSeed = 0;
  /// Bound on the share of one replica; nothing if there is none.
  std::optional<ShareBoundOptions> Shares;
  /// Where shares are bounded, leaves out replicas that several VMs report to
  /// be slow; nothing if VMs do not report them.
  std::optional<SlowReportOptions> Reports;
};

} // namespace carawaypond

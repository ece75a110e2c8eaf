#pragma once

#include "coordination/budget/VmTurn.h"
#include "core/time/Time.h"

namespace carawaypond {

/// @brief This VM's part of a limit that holds for all VMs together.
struct LimitShare {
  double Part = 1; ///< Of the limit, from 0 to 1.
  /// From 0 to 1, different for each VM. VMs that learn of a limit at the same
  /// moment would otherwise all send their first request at the same moment.
  double Phase = 0;
  VmTurn Turn;     ///< For limits at which VMs take turns; see RotatingTokens.
  TimePoint Epoch; ///< A moment that all VMs have in common.
};

} // namespace carawaypond

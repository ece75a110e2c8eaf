#pragma once

#include "coordination/budget/TokenBucket.h"
#include "coordination/placement/LimitShare.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Limits what this VM sends to one replica while the replica is cold.
///
/// Handles a replica that has started or lost its cache: it sustains only a low
/// rate from all VMs together, and would queue and refuse more. Each VM sends
/// its share of that rate.
class WarmupBudget {
public:
  /// @return Whether the budget leaves a request now, and @p Reserve more.
  [[nodiscard]] bool hasRoom(TimePoint Now, double Reserve = 0) const;
  /// @return How long until the budget allows a request.
  [[nodiscard]] Duration untilAllowed(TimePoint Now) const;
  /// @return Whether the replica is cold and its rate bounded.
  [[nodiscard]] bool isActive(TimePoint Now) const {
    return m_Tokens && Now < m_ColdUntil;
  }

  /// @param ColdUntil When the replica will be warm.
  /// @param PerSecond The rate of all VMs together; 0 if there is no bound.
  void update(TimePoint ColdUntil, double PerSecond, const LimitShare &Own,
              TimePoint Now);
  void onSent(TimePoint Now);
  /// @brief Takes back the count of a request of which nothing was sent.
  void onUnsent(TimePoint Now);

private:
  TimePoint m_ColdUntil;
  std::optional<TokenBucket> m_Tokens;
};

} // namespace carawaypond

#pragma once

#include "coordination/internal/Mutant.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Decides whether this VM may send new subrequests. A VM that was
/// paused or partitioned off may have missed that a backend server is leaving,
/// so it sends nothing until other VMs have answered it.
class SendGate {
public:
  /// Drain statuses reach every VM within 1.5 s. Together with this bound they
  /// take effect within 3 s.
  static constexpr Milliseconds Bound{1500};

  /// @return The time until which subrequests may be sent, for traffic threads,
  /// which compare it with their own clock.
  [[nodiscard]] std::optional<TimePoint> sendUntil() const {
    return m_SendUntil;
  }
  [[nodiscard]] bool maySend(TimePoint Now) const {
    if (internal::isMutant(internal::Mutant::SendUninformed))
      return true;
    return m_SendUntil && Now <= *m_SendUntil;
  }

  /// @brief Updates the gate with Membership::directAsOf(), to be called after
  /// each reply and tick.
  void onHeard(std::optional<TimePoint> DirectAsOf) {
    if (DirectAsOf)
      m_SendUntil = *DirectAsOf + Bound;
  }

private:
  std::optional<TimePoint> m_SendUntil;
};

} // namespace carawaypond

#pragma once

#include "coordination/internal/Mutant.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Whether this VM may send new subrequests. A VM that was paused or
/// cut off may not know that a backend server is leaving; it sends nothing
/// until other VMs answered it.
class SendGate {
public:
  /// Signs spread to every VM within 1.5 s; with this they count within 3 s.
  static constexpr Milliseconds Bound{1500};

  /// @return The time until which subrequests may be sent, for traffic
  /// threads that compare it with their own clock.
  [[nodiscard]] std::optional<TimePoint> sendUntil() const {
    return m_SendUntil;
  }
  [[nodiscard]] bool maySend(TimePoint Now) const {
    if (internal::isMutant(internal::Mutant::SendUninformed))
      return true;
    return m_SendUntil && Now <= *m_SendUntil;
  }

  /// @brief Takes Membership::directAsOf(), after each reply and tick.
  void onHeard(std::optional<TimePoint> DirectAsOf) {
    if (DirectAsOf)
      m_SendUntil = *DirectAsOf + Bound;
  }

private:
  std::optional<TimePoint> m_SendUntil;
};

} // namespace carawaypond

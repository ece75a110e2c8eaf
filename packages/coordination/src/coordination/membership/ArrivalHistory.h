#pragma once

#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Learns the pace at which one VM is heard, so that a slow VM is given
/// longer than a fast one before it is suspected.
class ArrivalHistory {
public:
  /// @brief When the VM was last heard, if ever.
  [[nodiscard]] std::optional<TimePoint> lastHeard() const { return m_Last; }
  /// @brief The silence after which the VM is suspected.
  [[nodiscard]] Duration timeout(Duration Floor, Duration Ceiling) const;

  /// @brief Records that the VM was heard at @p Now.
  void record(TimePoint Now);
  /// @brief Discounts a pause of this VM, during which nobody could be heard.
  void shift(Duration Pause);

private:
  std::optional<TimePoint> m_Last;
  Duration m_Mean{0};
  Duration m_Deviation{0};
};

} // namespace carawaypond

#pragma once

#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Adaptive failure-detection timeout of one VM, from the mean and
/// deviation of the intervals at which it is heard. A VM that is heard rarely
/// gets a longer timeout than one that is heard often.
class ArrivalHistory {
public:
  /// @return When the VM was last heard, if ever.
  [[nodiscard]] std::optional<TimePoint> lastHeard() const { return m_Last; }
  /// @return The silence after which the VM is suspected, within the bounds.
  [[nodiscard]] Duration timeout(Duration Floor, Duration Ceiling) const;

  /// @brief Records that the VM was heard at @p Now.
  void record(TimePoint Now);
  /// @brief Excludes a pause of the observing process, during which it could
  /// hear no VM.
  void shift(Duration Pause);

private:
  std::optional<TimePoint> m_Last;
  Duration m_Mean{0};
  Duration m_Deviation{0};
};

} // namespace carawaypond

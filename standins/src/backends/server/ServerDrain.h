#pragma once

#include "core/time/Time.h"

#include <optional>

namespace carawaypond::standins {

/// @brief State of a drain: reported at once, refuses after a grace period.
class ServerDrain {
public:
  [[nodiscard]] bool draining() const { return m_RefuseFrom.has_value(); }
  [[nodiscard]] bool refuses(TimePoint Now) const {
    return m_RefuseFrom && Now >= *m_RefuseFrom;
  }

  void begin(TimePoint Now, Duration Grace) { m_RefuseFrom = Now + Grace; }
  void end() { m_RefuseFrom.reset(); }

private:
  std::optional<TimePoint> m_RefuseFrom;
};

} // namespace carawaypond::standins

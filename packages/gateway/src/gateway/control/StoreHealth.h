#pragma once

#include "core/outcome/Error.h"
#include "core/time/Time.h"
#include "gateway/log/EventLog.h"

#include <optional>

namespace carawaypond::gateway {

/// @brief Whether the platform's store answers this VM, with a log line for
/// each change.
class StoreHealth {
public:
  explicit StoreHealth(EventLog &Log) : m_Log(Log) {}

  [[nodiscard]] bool isLost() const { return m_LostSince.has_value(); }

  /// @return Whether it had been lost.
  bool onAnswered(TimePoint Now);
  /// @return Whether it is lost now and was not before.
  bool onFailed(const Error &Why, TimePoint Now);

private:
  EventLog &m_Log;
  std::optional<TimePoint> m_LostSince;
};

} // namespace carawaypond::gateway

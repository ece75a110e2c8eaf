#pragma once

#include "core/outcome/Error.h"
#include "core/time/Time.h"
#include "gateway/log/EventLog.h"

#include <optional>

namespace carawaypond::gateway {

/// @brief Tracks whether the platform's store answered this VM's last call, and
/// logs each change. Tells nothing about the store while this VM makes no
/// calls.
class StoreHealth {
public:
  explicit StoreHealth(EventLog &Log) : m_Log(Log) {}

  [[nodiscard]] bool isLost() const { return m_LostSince.has_value(); }

  void onAnswered(TimePoint Now);
  /// @return Whether this failure is the first since the store last answered.
  bool onFailed(const Error &Why, TimePoint Now);

private:
  EventLog &m_Log;
  std::optional<TimePoint> m_LostSince;
};

} // namespace carawaypond::gateway

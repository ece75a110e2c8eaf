#pragma once

#include "core/outcome/Error.h"
#include "core/time/Time.h"
#include "gateway/log/EventLog.h"

#include <optional>

namespace carawaypond::gateway {

/// @brief Whether the platform's store answered this VM's last call, with a log
/// line for each change. Says nothing of the store while this VM does not call.
class StoreHealth {
public:
  explicit StoreHealth(EventLog &Log) : m_Log(Log) {}

  [[nodiscard]] bool isLost() const { return m_LostSince.has_value(); }

  void onAnswered(TimePoint Now);
  /// @return Whether it is lost now and was not before.
  bool onFailed(const Error &Why, TimePoint Now);

private:
  EventLog &m_Log;
  std::optional<TimePoint> m_LostSince;
};

} // namespace carawaypond::gateway

#pragma once

#include "coordination/fleet/ReaderChoice.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/StoreHealth.h"
#include "gateway/log/EventLog.h"

#include <functional>
#include <optional>
#include <string>

namespace carawaypond::gateway {

/// @brief Whether this VM reads the store itself, with a log line for each
/// change.
class StoreRole {
public:
  using Describe = std::function<LoadedVm()>;

  /// @param MaxAge How old what this VM knows may be while it follows another.
  StoreRole(const FleetState &State, EventLog &Log, Describe Self,
            Milliseconds MaxAge);

  /// @return The VM to follow, if this VM is not to read itself.
  [[nodiscard]] std::optional<VmRecord> reader();
  /// @return Whether this VM is to read the store now.
  [[nodiscard]] bool readsStore();

  /// @brief The VM that was followed failed.
  void onReaderFailed(const std::string &Why);

private:
  void onReaderChanged(const std::string &Name, TimePoint Now);
  /// @return Whether the VM that is followed does not keep this one up to date.
  [[nodiscard]] bool isOutdated(TimePoint Now) const;

  const FleetState &m_State;
  EventLog &m_Log;
  Describe m_Self;
  Milliseconds m_MaxAge;
  ReaderChoice m_Choice;
  std::optional<std::string> m_Logged; ///< The reader that was logged last.
  /// When it began to follow another VM with knowledge that was old already.
  std::optional<TimePoint> m_FollowsOldSince;
};

} // namespace carawaypond::gateway

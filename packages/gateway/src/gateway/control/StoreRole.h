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

  StoreRole(const FleetState &State, EventLog &Log, Describe Self);

  /// @return The VM to follow, if this VM is not to read itself.
  [[nodiscard]] std::optional<VmRecord> reader();
  /// @return Whether this VM is to read the store now.
  [[nodiscard]] bool readsStore();

  /// @brief The VM that was followed failed.
  void onReaderFailed(const std::string &Why);

private:
  const FleetState &m_State;
  EventLog &m_Log;
  Describe m_Self;
  ReaderChoice m_Choice;
  std::string m_Logged = "none"; ///< The reader that was logged last.
};

} // namespace carawaypond::gateway

#pragma once

#include "coordination/fleet/StoreReaderSelector.h"
#include "gateway/control/FleetState.h"
#include "gateway/control/StoreHealth.h"
#include "gateway/log/EventLog.h"

#include <functional>
#include <optional>
#include <string>

namespace carawaypond::gateway {

/// @brief Decides whether this VM reads the store itself or follows another VM
/// that does, and logs each change.
class StoreRole {
public:
  using Describe = std::function<LoadedVm()>;

  /// @param MaxAge Maximum age of this VM's data while it follows another VM.
  /// @param Health Of the calls of this VM to the store.
  StoreRole(const FleetState &State, EventLog &Log, const StoreHealth &Health,
            Describe Self, Milliseconds MaxAge,
            StoreReaderSelectorOptions Options);

  /// @return The VM to follow; empty if this VM is to read the store itself.
  [[nodiscard]] std::optional<VmRecord> reader();
  /// @return Whether this VM is to read the store now.
  [[nodiscard]] bool readsStore();

  /// @brief Records that @p Reader, which this VM has followed, failed.
  void onReaderFailed(const VmName &Reader, const std::string &Why);

private:
  void onReaderChanged(const std::string &Name, TimePoint Now);
  /// @return Whether the followed VM fails to keep this one up to date.
  [[nodiscard]] bool isOutdated(TimePoint Now) const;

  const FleetState &m_State;
  EventLog &m_Log;
  const StoreHealth &m_Health;
  Describe m_Self;
  Milliseconds m_MaxAge;
  StoreReaderSelector m_Choice;
  /// The last reader that was chosen; empty for this VM.
  std::optional<std::string> m_ReaderName;
  /// When this VM began to follow another one while its own data was already
  /// older than MaxAge; gives the followed VM time to update it.
  std::optional<TimePoint> m_FollowsStaleSince;
};

} // namespace carawaypond::gateway

#pragma once

#include "coordination/membership/VmRecord.h"
#include "coordination/model/IndexObject.h"
#include "coordination/model/StoredService.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief A VM as the traffic threads see it.
struct VmView {
  VmName Name;
  Incarnation IncarnationNumber;
  DataCentre Centre;
  std::string PeerAddress;
  bool MayOwn = false; ///< Whether it may own shards: live and not leaving.
};

/// @brief A service in force and the index that it searches.
struct ServiceView {
  std::shared_ptr<const StoredService> Stored;
  std::shared_ptr<const IndexObject> Index; ///< Null while unknown.
};

/// @brief A snapshot of the control thread's state for the traffic threads.
/// Immutable once published.
struct ControlView {
  std::uint64_t Generation = 0; ///< Increases with each published view.
  std::map<ServiceName, ServiceView> Services;
  std::vector<VmView> Vms; ///< Including this VM.
  std::set<ServerName> LeavingServers;
  VmRecord Self;                ///< For address answers.
  std::vector<VmRecord> Others; ///< For address answers.
  bool IssuesTickets = false;   ///< False while starting or leaving.

  /// @return The VM with that name, or nullptr.
  [[nodiscard]] const VmView *findVm(const VmName &Name) const;
};

} // namespace carawaypond::daemon

#pragma once

#include "coordination/node/ControlNode.h"
#include "daemon/control/IndexRegistry.h"
#include "daemon/control/VersionTable.h"

#include <functional>
#include <map>
#include <vector>

namespace carawaypond::daemon {

/// @brief The state of the control thread. No other thread accesses it.
struct ControlState {
  ::carawaypond::ControlNode Core; ///< Coordination logic, without I/O.
  IndexRegistry Indexes;
  VersionTable Versions;
  /// Called after a change that must be published to the traffic threads.
  std::function<void()> OnChange;
  /// Called with versions that were newer than the known ones, to forward them
  /// to the traffic threads.
  std::function<void(std::vector<ServiceReplicaVersions>)> OnVersions;

  /// @brief Merges an index received from the store or another VM.
  void mergeIndex(IndexObject New, TimePoint Now);
  /// @brief Merges replica versions received from another VM.
  void mergeVersions(const std::vector<ServiceReplicaVersions> &Rows,
                     TimePoint Now);
  /// @return A digest to send as a request or a reply.
  [[nodiscard]] Digest makeDigest(bool Full, TimePoint Now);
  /// @brief Logs configurations that came into force since the last call.
  void logNewConfigs();

  /// The version of each service that was last logged.
  std::map<ServiceName, ConfigVersion> Logged;
};

} // namespace carawaypond::daemon

#pragma once

#include "coordination/node/ControlNode.h"
#include "daemon/control/IndexBook.h"
#include "daemon/control/VersionTable.h"

#include <functional>
#include <map>
#include <vector>

namespace carawaypond::daemon {

/// @brief All state of the control thread; nothing else touches it.
struct ControlState {
  ::carawaypond::ControlNode Core; ///< The decisions.
  IndexBook Indexes;
  VersionTable Versions;
  /// Called after a change that the traffic threads must see.
  std::function<void()> OnChange;
  /// Called with versions that were news, to be told to the traffic threads.
  std::function<void(std::vector<ServiceReplicaVersions>)> OnVersions;

  /// @brief Takes an index from the store or another VM.
  void takeIndex(IndexObject New, TimePoint Now);
  /// @brief Takes what replicas were found to serve.
  void takeVersions(const std::vector<ServiceReplicaVersions> &Rows,
                    TimePoint Now);
  /// @return A digest to send or to answer with.
  [[nodiscard]] Digest makeDigest(bool Full, TimePoint Now);
  /// @brief Logs configurations that came into force since the last call.
  void logNewConfigs();

  /// Versions that were logged.
  std::map<ServiceName, ConfigVersion> Logged;
};

} // namespace carawaypond::daemon

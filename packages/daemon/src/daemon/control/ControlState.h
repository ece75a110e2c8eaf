#pragma once

#include "coordination/configuration/ConfigBook.h"
#include "coordination/configuration/StoreFeed.h"
#include "coordination/drain/SendGate.h"
#include "coordination/drain/ServerDrains.h"
#include "coordination/drain/VmDrain.h"
#include "coordination/freshness/Freshness.h"
#include "coordination/membership/Membership.h"
#include "daemon/control/IndexBook.h"
#include "daemon/control/VersionTable.h"

#include <functional>
#include <vector>

namespace carawaypond::daemon {

/// @brief All state of the control thread; nothing else touches it.
struct ControlState {
  Membership Vms;
  ConfigBook Configs;
  IndexBook Indexes;
  VersionTable Versions;
  Freshness Fresh;
  SendGate Gate;
  ServerDrains Drains;
  VmDrain Drain;
  /// Called after a change that the traffic threads must see.
  std::function<void()> OnChange;
  /// Called with versions that were news, to be told to the traffic threads.
  std::function<void(std::vector<ServiceReplicaVersions>)> OnVersions;

  /// @brief Takes a configuration from the store or another VM.
  void takeConfig(StoredService New);
  /// @brief Takes an index from the store or another VM.
  void takeIndex(IndexObject New, TimePoint Now);
  /// @brief Takes what replicas were found to serve.
  void takeVersions(const std::vector<ServiceReplicaVersions> &Rows,
                    TimePoint Now);
  /// @return A digest to send or to answer with.
  [[nodiscard]] Digest makeDigest(bool Full, TimePoint Now);
};

} // namespace carawaypond::daemon

#include "daemon/control/ControlState.h"

#include "daemon/log/Log.h"

namespace carawaypond::daemon {

void ControlState::logNewConfigs() {
  for (const HeldConfigVersion &Held : Core.configs().versions()) {
    ConfigVersion &Last = Logged[Held.Service];
    if (Last == Held.Version)
      continue;
    Last = Held.Version;
    LOG4CXX_INFO(logger(), "configuration in force service="
                               << Held.Service << " version=" << Held.Version);
  }
}

void ControlState::mergeIndex(IndexObject New, TimePoint Now) {
  IndexObject Copy = New;
  if (!Indexes.take(std::move(New)))
    return;
  for (const ServerInfo &Server : Copy.Servers)
    Core.onServerDrainStatus(Server.Name, Server.Leaving, Now);
  OnChange();
}

void ControlState::mergeVersions(
    const std::vector<ServiceReplicaVersions> &Rows, TimePoint Now) {
  std::vector<ServiceReplicaVersions> News = Versions.take(Rows, Now);
  if (!News.empty())
    OnVersions(std::move(News));
}

Digest ControlState::makeDigest(bool Full, TimePoint Now) {
  Digest Made = Core.makeDigest(Full, Now);
  Indexes.fill(Made);
  Versions.fill(Made, Now);
  return Made;
}

} // namespace carawaypond::daemon

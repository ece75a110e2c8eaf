#include "daemon/control/ControlState.h"

#include "daemon/log/Log.h"

namespace carawaypond::daemon {

void ControlState::takeConfig(StoredService New) {
  ServiceName Service = New.Content.Name;
  ConfigVersion Version = New.Version;
  if (Configs.take(std::move(New)) != Taken::Newer)
    return;
  LOG4CXX_INFO(logger(), "configuration in force service="
                             << Service << " version=" << Version);
  OnChange();
}

void ControlState::takeIndex(IndexObject New, TimePoint Now) {
  IndexObject Copy = New;
  if (!Indexes.take(std::move(New)))
    return;
  for (const ServerInfo &Server : Copy.Servers)
    Drains.observe(Server.Name, Server.Leaving, Now);
  OnChange();
}

void ControlState::takeVersions(const std::vector<ServiceReplicaVersions> &Rows,
                                TimePoint Now) {
  std::vector<ServiceReplicaVersions> News = Versions.take(Rows, Now);
  if (!News.empty())
    OnVersions(std::move(News));
}

Digest ControlState::makeDigest(bool Full, TimePoint Now) {
  Digest Made;
  Vms.fill(Made, Full, Now);
  Configs.fill(Made, Full);
  Fresh.fill(Made, Now);
  Drains.fill(Made, Full, Now);
  Indexes.fill(Made);
  Versions.fill(Made, Now);
  return Made;
}

} // namespace carawaypond::daemon

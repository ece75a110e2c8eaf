#pragma once

#include "coordination/membership/Digest.h"
#include "daemon/traffic/BackendFleet.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/TrafficContext.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaypond {
class RouteTable;
} // namespace carawaypond

namespace carawaypond::daemon {

/// @brief Polls the status of the backend servers of the shards that this VM
/// owns. Index versions are thus known before the first query, and a server
/// that is down is detected without one.
class StatusPoller {
public:
  /// Called with the index versions that a server reported.
  using VersionsHandler =
      std::function<void(std::vector<ServiceReplicaVersions>)>;

  StatusPoller(TrafficContext &Context, ServiceTable &Services,
               BackendFleet &Fleet, VersionsHandler OnVersions);

  /// @brief Applies a new control view.
  void apply(const ControlView &View);

  /// @brief Polls the servers of owned shards in turn, as long as the thread
  /// runs.
  boost::asio::awaitable<void> run();

  /// @brief Polls the replicas of a service until a snapshot can be pinned.
  /// Needed for the first query of a service for which this VM has received no
  /// replica versions.
  /// @param Deadline When to give up.
  boost::asio::awaitable<void>
  awaitSnapshot(std::shared_ptr<ServiceRuntime> Service, TimePoint Deadline);

private:
  void pollReplicas(const IndexObject &Index);
  void pollServer(const ServerName &Server);
  boost::asio::awaitable<void> poll(ServerName Server);
  void mergeStatus(const backend::ServerStatus &Status, TimePoint AskedAt);

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  BackendFleet &m_Fleet;
  VersionsHandler m_OnVersions;
  std::vector<ServerName> m_Owned;
  std::set<ServerName> m_PollsInFlight; ///< Servers with a poll in flight.
  std::map<std::string, TimePoint> m_LastSnapshotPoll; ///< By index name.
};

} // namespace carawaypond::daemon

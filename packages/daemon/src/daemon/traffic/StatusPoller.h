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

/// @brief Asks the backend servers of the shards that this VM owns what they
/// serve, so that versions are known before the first query, and a server that
/// is down is found without one.
class StatusPoller {
public:
  /// Takes what replicas were found to serve.
  using VersionsHandler =
      std::function<void(std::vector<ServiceReplicaVersions>)>;

  StatusPoller(TrafficContext &Context, ServiceTable &Services,
               BackendFleet &Fleet, VersionsHandler OnVersions);

  /// @brief Follows a new control view.
  void apply(const ControlView &View);

  /// @brief Asks each owned server in turn, for as long as the thread runs.
  boost::asio::awaitable<void> run();

  /// @brief Asks a service's replicas until a snapshot can be pinned. For the
  /// first query of a service here, about which this VM has heard nothing.
  /// @param Deadline When to give up.
  boost::asio::awaitable<void> learn(std::shared_ptr<ServiceRuntime> Service,
                                     TimePoint Deadline);

private:
  void pollReplicas(const IndexObject &Index);
  void pollServer(const ServerName &Server);
  boost::asio::awaitable<void> poll(ServerName Server);
  void take(const backend::ServerStatus &Status, TimePoint AskedAt);

  TrafficContext &m_Context;
  ServiceTable &m_Services;
  BackendFleet &m_Fleet;
  VersionsHandler m_OnVersions;
  std::vector<ServerName> m_Owned;
  std::set<ServerName> m_Asked; ///< Servers with a question out.
  std::map<std::string, TimePoint> m_LearnedAt; ///< By the index's name.
};

} // namespace carawaypond::daemon

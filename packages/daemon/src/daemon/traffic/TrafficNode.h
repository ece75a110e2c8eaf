#pragma once

#include "coordination/addresses/AddressSelector.h"
#include "daemon/traffic/BackendFleet.h"
#include "daemon/traffic/CallerApi.h"
#include "daemon/traffic/OwnerRunner.h"
#include "daemon/traffic/QueryRunner.h"
#include "daemon/traffic/RemoteOwners.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/StatusPoller.h"
#include "daemon/traffic/TicketHandler.h"
#include "daemon/traffic/TrafficContext.h"
#include "http/Listener.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief Callbacks from a traffic thread to the control thread. Called on the
/// traffic thread.
struct TrafficHandlers {
  std::function<void(const ServerName &, bool)> OnDrainStatus;
  StatusPoller::VersionsHandler OnVersions;
};

/// @brief The work of one traffic thread: callers' queries, and the subrequests
/// to the replicas that this VM owns.
class TrafficNode {
public:
  TrafficNode(boost::asio::io_context &Io, const Settings &Config,
              Incarnation IncarnationNumber, ViewHolder &Views,
              Metrics &Collected, TrafficHandlers Handlers);

  /// @return The address of the callers' port. Valid after start() has
  /// succeeded.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] http::ListenerStats listenerStats() const;
  /// @return The number of open caller connections and of unfinished
  /// subrequests received from other VMs. Must be called on the traffic thread.
  [[nodiscard]] std::size_t busy() const;

  /// @brief Opens the callers' port and starts the periodic tasks. Must be
  /// called before the thread runs.
  [[nodiscard]] Result<void> start();
  /// @brief Sets the node used for calls to other VMs. Must be called before
  /// start().
  void attach(peer::PeerNode &Node);

  // The functions below must be called on the traffic thread.

  /// @brief Applies the newest control view if it has not been applied yet.
  void follow();
  /// @brief Merges replica versions received from other VMs.
  void mergeVersions(const std::vector<ServiceReplicaVersions> &Heard,
                     TimePoint HeardAt);
  [[nodiscard]] RemoteOwners &remote() { return m_Remote; }
  [[nodiscard]] TicketHandler &tickets() { return m_Tickets; }
  /// @brief Adds "Connection: close" to all further responses.
  void beginDraining();
  /// @brief Stops accepting connections, and closes the idle ones.
  void closeListener();

private:
  boost::asio::awaitable<void> runHousekeeping();
  [[nodiscard]] http::Response addresses(const http::Request &Request);
  void countListener();

  TrafficContext m_Context;
  ServiceTable m_Services;
  BackendFleet m_Fleet;
  OwnerRunner m_Owned;
  RemoteOwners m_Remote;
  StatusPoller m_Poller;
  QueryRunner m_Queries;
  TicketHandler m_Tickets;
  AddressSelector m_Addresses;
  CallerApi m_Api;
  std::unique_ptr<http::Listener> m_Listener;
  std::uint64_t m_AppliedGeneration = 0;
};

} // namespace carawaypond::daemon

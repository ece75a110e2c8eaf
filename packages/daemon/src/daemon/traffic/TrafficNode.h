#pragma once

#include "coordination/addresses/AddressBook.h"
#include "daemon/traffic/BackendFleet.h"
#include "daemon/traffic/CallerApi.h"
#include "daemon/traffic/OwnerRunner.h"
#include "daemon/traffic/QueryRunner.h"
#include "daemon/traffic/RemoteOwners.h"
#include "daemon/traffic/ServiceTable.h"
#include "daemon/traffic/StatusPoller.h"
#include "daemon/traffic/TicketDesk.h"
#include "daemon/traffic/TrafficContext.h"
#include "http/Listener.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief What a traffic thread tells the control thread. The functions are
/// called on the traffic thread.
struct TrafficHandlers {
  std::function<void(const ServerName &, bool)> OnDrainSign;
  StatusPoller::VersionsHandler OnVersions;
};

/// @brief All that one traffic thread does: callers' queries, and the
/// subrequests of the replicas that this VM owns.
class TrafficNode {
public:
  TrafficNode(boost::asio::io_context &Io, const Settings &Config,
              Incarnation Life, ViewHolder &Views, Metrics &Collected,
              TrafficHandlers Handlers);

  /// @return The callers' address, once start() has succeeded.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] http::ListenerStats listenerStats() const;
  /// @return Callers' connections and other VMs' subrequests. Call it on the
  /// traffic thread.
  [[nodiscard]] std::size_t busy() const;

  /// @brief Opens the callers' port and begins to work. Call it before the
  /// thread runs.
  [[nodiscard]] Result<void> start();
  /// @brief Uses @p Node for calls to other VMs. Call it before start().
  void attach(peer::PeerNode &Node);

  // The rest is to be called on the traffic thread.

  /// @brief Follows the newest control view.
  void follow();
  /// @brief Takes what other VMs heard replicas serve.
  void takeVersions(const std::vector<ServiceReplicaVersions> &Heard,
                    TimePoint HeardAt);
  [[nodiscard]] RemoteOwners &remote() { return m_Remote; }
  [[nodiscard]] TicketDesk &tickets() { return m_Tickets; }
  /// @brief Answers carry "Connection: close" from now on.
  void beginDraining();
  /// @brief Takes no new connections, and closes the idle ones.
  void closeListener();

private:
  boost::asio::awaitable<void> keepHouse();
  [[nodiscard]] http::Response addresses(const http::Request &Request);
  void countListener();

  TrafficContext m_Context;
  ServiceTable m_Services;
  BackendFleet m_Fleet;
  OwnerRunner m_Owned;
  RemoteOwners m_Remote;
  StatusPoller m_Poller;
  QueryRunner m_Queries;
  TicketDesk m_Tickets;
  AddressBook m_Addresses;
  CallerApi m_Api;
  std::unique_ptr<http::Listener> m_Listener;
  std::uint64_t m_Followed = 0;
};

} // namespace carawaypond::daemon

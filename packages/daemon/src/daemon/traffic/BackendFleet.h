#pragma once

#include "backend/pool/ServerPool.h"
#include "backend/search/SearchOutcome.h"
#include "backend/search/SearchRequest.h"
#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "core/id/Ids.h"
#include "daemon/traffic/TrafficContext.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace carawaypond::daemon {

/// @brief The backend servers listed in the control view. Keeps a connection
/// pool, a number of slots and a state for each.
class BackendFleet {
public:
  /// Called when the state of a server has changed, and after each new view for
  /// every server that is not up.
  using StateChange = std::function<void(const ServerName &, ServerState)>;
  /// Called when this VM's share of a server's slots has changed.
  using SlotsChange = std::function<void(const ServerName &, std::uint32_t)>;

  BackendFleet(TrafficContext &Context, StateChange OnState,
               SlotsChange OnSlots);

  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return The number of connections opened so far to all servers.
  [[nodiscard]] std::uint64_t connectionsOpened() const;

  /// @brief Adds, updates and removes servers according to a new control view.
  void apply(const ControlView &View);

  /// @brief Sends a subrequest as soon as this VM's information about leaving
  /// servers is recent enough. Returns SearchRefused if the server is leaving
  /// by then. Both conditions are checked again right before the first byte is
  /// sent.
  boost::asio::awaitable<backend::SearchOutcome>
  search(ServerName Server, backend::SearchRequest Search);

  /// @brief Asks a server to cancel a subrequest. Not retried.
  void cancel(const ServerName &Server, std::string Id);

  /// @brief Requests a server's status. Marks the server as down if it can't be
  /// reached, and as up again if it answers.
  boost::asio::awaitable<Result<backend::ServerStatus>>
  status(ServerName Server);

  /// @brief Closes connections that have been idle for too long.
  void closeIdle();

private:
  struct Entry {
    std::shared_ptr<backend::ServerPool> Pool;
    ServerState State = ServerState::Up;
    std::uint32_t Slots = 0;
    bool ReportsDraining = false; ///< According to its own drain header.
  };

  void applyServer(const ServerInfo &Info, const ControlView &View,
                   const std::vector<VmName> &MayConnect);
  void setSlots(const ServerName &Server, Entry &Kept, std::uint32_t Slots);
  void setState(const ServerName &Server, ServerState State);
  /// @return Whether a new subrequest may be sent to the server now.
  [[nodiscard]] bool maySend(const ServerName &Server) const;
  void noteDraining(const ServerName &Server, bool Draining);
  void noteReachable(const ServerName &Server, bool Reachable);
  void noteOutcome(const ServerName &Server,
                   const backend::SearchOutcome &Outcome);

  TrafficContext &m_Context;
  StateChange m_OnState;
  SlotsChange m_OnSlots;
  std::map<ServerName, Entry> m_Servers;
  std::uint64_t m_OpenedByRemoved = 0;
};

} // namespace carawaypond::daemon

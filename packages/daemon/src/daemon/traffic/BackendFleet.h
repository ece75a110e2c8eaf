#pragma once

#include "backend/pool/ServerPool.h"
#include "backend/search/SearchOutcome.h"
#include "backend/search/SearchRequest.h"
#include "coordination/snapshot/VersionBoard.h"
#include "core/id/Ids.h"
#include "daemon/traffic/TrafficContext.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace carawaypond::daemon {

/// @brief The backend servers that the control view names: a pool of
/// connections for each, its slots, and whether it may get work.
class BackendFleet {
public:
  /// Called when a server may or may no longer get work, and with each view
  /// for a server that may not.
  using StateChange = std::function<void(const ServerName &, ServerState)>;
  /// Called when this VM's part of a server's slots has changed.
  using SlotsChange = std::function<void(const ServerName &, std::uint32_t)>;

  BackendFleet(TrafficContext &Context, StateChange OnState,
               SlotsChange OnSlots);

  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return Connections opened so far, over all servers.
  [[nodiscard]] std::uint64_t connectionsOpened() const;

  /// @brief Follows the servers of a new control view.
  void apply(const ControlView &View);

  /// @brief Sends a subrequest as soon as the signs of leaving servers are
  /// fresh enough; SearchRefused when the server is leaving by then. Both are
  /// looked at again right before the first byte.
  boost::asio::awaitable<backend::SearchOutcome>
  search(ServerName Server, backend::SearchRequest Search);

  /// @brief Asks a server to give a subrequest up; tried once.
  void cancel(const ServerName &Server, std::string Id);

  /// @brief Asks a server what it serves. A server that can't be reached is
  /// down from then on, one that answers is up again.
  boost::asio::awaitable<Result<backend::ServerStatus>>
  status(ServerName Server);

  /// @brief Closes connections that have not been used for a while.
  void closeIdle();

private:
  struct Entry {
    std::shared_ptr<backend::ServerPool> Pool;
    ServerState State = ServerState::Up;
    std::uint32_t Slots = 0;
    bool SaidLeaving = false; ///< By its own drain header.
  };

  void applyServer(const ServerInfo &Info, const ControlView &View,
                   const std::vector<VmName> &MayConnect);
  void setSlots(const ServerName &Server, Entry &Kept, std::uint32_t Slots);
  void setState(const ServerName &Server, ServerState State);
  /// @return Whether a byte of new work may go to the server now.
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

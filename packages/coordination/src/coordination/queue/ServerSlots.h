#pragma once

#include "coordination/snapshot/VersionBoard.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <unordered_map>

namespace carawaypond {

/// @brief This VM's account of the slots of each backend server. One account
/// serves all queues, since a server may hold several shards.
class ServerSlots {
public:
  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return Whether new work may be sent now.
  [[nodiscard]] bool hasFree(const ServerName &Server) const;
  [[nodiscard]] std::uint32_t slots(const ServerName &Server) const;
  [[nodiscard]] std::uint32_t inUse(const ServerName &Server) const;

  /// @brief Says how many subrequests this VM may have at the server at once:
  /// its slots, or this VM's connections when those are fewer.
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  void setState(const ServerName &Server, ServerState State);
  /// @brief Takes a free slot; an invariant that there is one.
  void take(const ServerName &Server);
  /// @brief Gives a slot back.
  void release(const ServerName &Server);

private:
  struct Account {
    std::uint32_t Slots = 0;
    std::uint32_t InUse = 0;
    ServerState State = ServerState::Up;
  };

  std::unordered_map<ServerName, Account> m_Accounts;
};

} // namespace carawaypond

#pragma once

#include "coordination/snapshot/ReplicaVersionTracker.h"
#include "core/id/Ids.h"

#include <cstdint>
#include <unordered_map>

namespace carawaypond {

/// @brief Counts this VM's used slots of each backend server. All queues share
/// the counts, since a server may hold several shards.
class ServerSlots {
public:
  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return Whether the server is up and has a free slot.
  [[nodiscard]] bool hasFree(const ServerName &Server) const;
  [[nodiscard]] std::uint32_t slots(const ServerName &Server) const;
  [[nodiscard]] std::uint32_t inUse(const ServerName &Server) const;

  /// @brief Sets how many subrequests this VM may have at the server at once:
  /// the server's slots, or this VM's connections if there are fewer.
  void setSlots(const ServerName &Server, std::uint32_t Slots);
  void setState(const ServerName &Server, ServerState State);
  /// @brief Acquires a free slot. The server must be up and have one.
  void acquire(const ServerName &Server);
  void release(const ServerName &Server);

private:
  struct SlotUsage {
    std::uint32_t Slots = 0;
    std::uint32_t InUse = 0;
    ServerState State = ServerState::Up;
  };

  std::unordered_map<ServerName, SlotUsage> m_UsageByServer;
};

} // namespace carawaypond

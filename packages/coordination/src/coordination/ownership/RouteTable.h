#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/ownership/Ownership.h"

#include <optional>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief One VM owns a shard's whole replica set.
struct OwnerOfShard {};
/// @brief Each replica has its own owner.
struct OwnerOfReplica {};
/// @brief No owners: every VM sends to the backend servers directly.
struct DirectSending {};

/// @brief The unit of ownership.
using OwnershipUnit = std::variant<OwnerOfShard, OwnerOfReplica, DirectSending>;

/// @brief Where a subrequest may be sent.
struct Route {
  VmName Vm;
  std::optional<ServerName> Replica; ///< Set if each replica has its own owner.

  friend bool operator==(const Route &, const Route &) = default;
};

/// @brief Options of a RouteTable.
struct RouteTableOptions {
  OwnershipUnit Unit = OwnerOfShard{};
  VmName Self;
  std::vector<VmName> LiveVms; ///< Live VMs, without leaving ones.
  std::size_t Fallbacks = 2;   ///< Further VMs to try after the owner.
};

/// @brief Maps a shard to the VMs to send its subrequest to. Immutable: if the
/// VMs change, a new table is made.
class RouteTable {
public:
  explicit RouteTable(RouteTableOptions Options);

  /// @return Routes in the order to try them; empty when no VM is live.
  [[nodiscard]] std::vector<Route> routesFor(const ServiceName &Service,
                                             const ShardReplicas &Shard) const;

  /// @return Whether this VM is the owner of the key.
  [[nodiscard]] bool ownedHere(const OwnershipKey &Key) const;

private:
  RouteTableOptions m_Options;
};

} // namespace carawaypond

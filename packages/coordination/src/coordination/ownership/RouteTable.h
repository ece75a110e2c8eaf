#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/ownership/Ownership.h"

#include <optional>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief One VM owns a shard's whole replica set.
struct OwnerOfShard {};
/// @brief Each replica has an owner of its own.
struct OwnerOfReplica {};
/// @brief Every VM sends to the backend servers itself.
struct DirectSending {};

/// @brief The unit of ownership.
using OwnershipUnit = std::variant<OwnerOfShard, OwnerOfReplica, DirectSending>;

/// @brief Where a subrequest may be sent.
struct Route {
  VmName Vm;
  std::optional<ServerName> Replica; ///< Set when replicas have own queues.

  friend bool operator==(const Route &, const Route &) = default;
};

/// @brief What a RouteTable is made from.
struct RouteTableOptions {
  OwnershipUnit Unit = OwnerOfShard{};
  VmName Self;
  std::vector<VmName> LiveVms; ///< Live VMs; leaving ones are left out.
  std::size_t Fallbacks = 2;   ///< Further VMs to try after the owner.
};

/// @brief Which VM to send a shard's subrequest to, and which ones next.
/// Immutable: a change of the VMs makes a new one.
class RouteTable {
public:
  explicit RouteTable(RouteTableOptions Options);

  /// @return Routes in the order to try them; empty when no VM is live.
  [[nodiscard]] std::vector<Route> routesFor(const ServiceName &Service,
                                             const ShardReplicas &Shard) const;

  /// @return Whether this VM is first for the key.
  [[nodiscard]] bool ownedHere(const OwnershipKey &Key) const;

private:
  RouteTableOptions m_Options;
};

} // namespace carawaypond

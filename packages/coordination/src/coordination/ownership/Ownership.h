#pragma once

#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaypond {

/// @brief The key of an owned resource: a shard's replica set, or one replica.
struct OwnershipKey {
  ServiceName Service;
  ShardId Shard;
  std::optional<ServerName> Replica;
};

/// @brief VMs in the order in which to try them. The first is the owner.
using OwnerOrder = std::vector<VmName>;

/// @brief Ranks VMs for a key by rendezvous hashing: every VM that knows the
/// same VMs computes the same order, and if a VM leaves, only its own keys
/// move. The data centre is not considered, because a shard's replicas are in
/// several data centres, half a millisecond apart.
/// @param Vms Live VMs, in any order.
/// @param Count Maximum number of VMs to return.
[[nodiscard]] OwnerOrder ownersOf(const OwnershipKey &Key,
                                  std::span<const VmName> Vms,
                                  std::size_t Count);

/// @brief Computes how many connections @p Self may open to a backend server so
/// that all VMs together stay within the server's limit.
/// @param Limit Connections that the server accepts in total.
/// @param MayConnect Every VM that may connect: live VMs, leaving VMs and VMs
/// that are being replaced. A VM that is missing is not counted.
[[nodiscard]] std::uint32_t connectionCap(const ServerName &Server,
                                          std::uint32_t Limit,
                                          const VmName &Self,
                                          std::span<const VmName> MayConnect);

} // namespace carawaypond

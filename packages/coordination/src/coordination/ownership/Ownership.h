#pragma once

#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaypond {

/// @brief What is owned: a shard's replica set, or one replica of it.
struct OwnershipKey {
  ServiceName Service;
  ShardId Shard;
  std::optional<ServerName> Replica;
};

/// @brief VMs in the order in which they are to be tried; the first owns.
using OwnerOrder = std::vector<VmName>;

/// @brief Ranks VMs for a key by rendezvous hashing: every VM that knows the
/// same VMs gets the same order, and a VM that leaves moves only its own keys.
/// The data centre has no part in it: a shard's replicas stand in several data
/// centres, half a millisecond apart.
/// @param Vms Live VMs, in any order.
/// @param Count How many VMs to return at most.
[[nodiscard]] OwnerOrder ownersOf(const OwnershipKey &Key,
                                  std::span<const VmName> Vms,
                                  std::size_t Count);

/// @brief How many connections @p Self may open to a backend server so that
/// all VMs together stay within its limit.
/// @param Limit Connections that the server accepts in all.
/// @param MayConnect Every VM that may connect: live ones, leaving ones, and
/// ones that are being replaced. A VM missing from it is not counted.
[[nodiscard]] std::uint32_t connectionCap(const ServerName &Server,
                                          std::uint32_t Limit,
                                          const VmName &Self,
                                          std::span<const VmName> MayConnect);

} // namespace carawaypond

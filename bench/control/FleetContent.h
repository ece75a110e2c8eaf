#pragma once

#include "coordination/membership/Digest.h"
#include "coordination/membership/VmRecord.h"
#include "coordination/model/IndexObject.h"
#include "coordination/model/StoredService.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawaypond::bench {

/// Records like those of a deployment, with names of realistic length.

[[nodiscard]] VmRecord makeVm(std::size_t Centre, std::size_t Number);
[[nodiscard]] StoredService makeService(std::size_t Number,
                                        std::uint64_t Version);
/// @return An index with two replicas per shard, each on its own server.
[[nodiscard]] IndexObject makeIndex(std::size_t Number, std::size_t Replicas);
/// @return The index versions that each replica of makeIndex() serves.
[[nodiscard]] std::vector<ServiceReplicaVersions>
makeVersions(std::size_t Number, std::size_t Replicas, std::uint64_t Newest);

} // namespace carawaypond::bench

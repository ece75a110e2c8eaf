#pragma once

#include "coordination/membership/VmRecord.h"
#include "coordination/replicas/ReplicaRecord.h"
#include "gateway/control/FleetState.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::gateway {

/// @brief State that a VM serves to VMs that cannot reach the store.
struct PeerState {
  nlohmann::json Config; ///< Document as in the store; null if none is known.
  std::vector<ReplicaRecord> Replicas;
  std::uint64_t ReplicaRevision = 0;
  std::vector<VmRecord> Vms;
};

[[nodiscard]] nlohmann::json encodeReplica(const ReplicaRecord &Replica);
/// @return std::nullopt if fields are missing or of another type.
[[nodiscard]] std::optional<ReplicaRecord>
decodeReplica(const nlohmann::json &Item);

/// @param Self The record of the VM that answers.
[[nodiscard]] std::string encodePeerState(const FleetState &State,
                                          const VmRecord &Self);
/// @return std::nullopt if any part of @p Text cannot be parsed.
[[nodiscard]] std::optional<PeerState> decodePeerState(std::string_view Text);

} // namespace carawaypond::gateway

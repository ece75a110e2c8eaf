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

/// @brief What a VM tells another one that can't reach the store.
struct PeerState {
  nlohmann::json Config; ///< As in the store; null if none is known.
  std::vector<ReplicaRecord> Replicas;
  std::uint64_t ReplicaRevision = 0;
  std::vector<VmRecord> Vms;
};

[[nodiscard]] nlohmann::json encodeReplica(const ReplicaRecord &Replica);
/// @return Nothing if fields are missing or of another type.
[[nodiscard]] std::optional<ReplicaRecord>
decodeReplica(const nlohmann::json &Item);

/// @param Self The record of the VM that answers.
[[nodiscard]] std::string encodePeerState(const FleetState &State,
                                          const VmRecord &Self);
/// @return Nothing if @p Text can't be read as a whole.
[[nodiscard]] std::optional<PeerState> decodePeerState(std::string_view Text);

} // namespace carawaypond::gateway

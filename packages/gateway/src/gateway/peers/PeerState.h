#pragma once

#include "coordination/membership/VmRecord.h"
#include "coordination/model/JsonReader.h"
#include "coordination/replicas/ReplicaReport.h"
#include "gateway/control/FleetState.h"
#include "gateway/peers/EvacuationCodec.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::gateway {

/// @brief State that a VM serves to VMs that cannot reach the store.
struct PeerState {
  nlohmann::json Config; ///< Document as in the store; null if none is known.
  /// Time since that configuration was last proved to be the newest one.
  std::optional<Milliseconds> ProofAge;
  ReplicaList Replicas;
  /// When the store answered any VM, as far as the sender knows.
  std::optional<ContactAge> Contact;
  /// Nothing if the sender never read any.
  std::optional<EvacuationReport> Evacuations;
  std::vector<VmRecord> Vms;
};

[[nodiscard]] nlohmann::json encodeReplica(const KnownReplica &Replica);
/// @brief Reads the replicas of the array @p Key. @p Reader fails if one lacks
/// a field or has one of another type.
[[nodiscard]] std::vector<KnownReplica> decodeReplicas(JsonReader &Reader,
                                                       std::string_view Key);

/// @param Self The record of the VM that answers.
[[nodiscard]] std::string encodePeerState(const FleetState &State,
                                          const VmRecord &Self);
/// @return std::nullopt if any part of @p Text cannot be parsed.
[[nodiscard]] std::optional<PeerState> decodePeerState(std::string_view Text);

} // namespace carawaypond::gateway

#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "gateway/control/FleetState.h"
#include "gateway/peers/EvacuationCodec.h"
#include "http/Request.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carawaypond::gateway {

/// Path under which a VM serves its changes to VMs that follow it.
constexpr const char *ChangesPath = "/v2/changes";

/// @brief Long-poll request for changes: what the sender already has from the
/// VM that it follows.
struct ChangesRequest {
  Incarnation IncarnationNumber; ///< Last known incarnation of the followed VM.
  std::uint64_t Sequence = 0;    ///< Last replica change received from it.
  std::uint64_t ConfigVersion = 0;
  /// Last change of the evacuations received from it; nothing if the sender
  /// does not follow them.
  std::optional<std::uint64_t> EvacuationSequence;
  Milliseconds Wait{0}; ///< How long to wait for a change before answering.
};

/// @brief Answer with the changes since the request's sequence number.
struct ChangesResponse {
  Incarnation IncarnationNumber;
  std::uint64_t Sequence = 0;
  bool ReadsStore = false;  ///< Whether the store answers the sender.
  bool HasReplicas = false; ///< Whether the sender ever read the replica list.
  /// Time since the sender's replica list was last known to match the store.
  Milliseconds ReplicaAge{0};
  /// Time since its configuration was last known to match the store.
  Milliseconds ConfigAge{0};
  /// Time since that configuration was last proved to be the newest one.
  std::optional<Milliseconds> ProofAge;
  /// How long the sender waited before it answered.
  Milliseconds Waited{0};
  /// When the store answered any VM, as far as the sender knows.
  std::optional<ContactAge> Contact;
  nlohmann::json Config; ///< Null if there is no newer one.
  /// All replicas, or those that changed. Base of a delta is not sent.
  std::variant<ReplicaList, ReplicaDelta> Replicas;
  /// Nothing if the sender never read any.
  std::optional<EvacuationReport> Evacuations;
  std::vector<LoadedVm> RemoteVms; ///< VMs in other data centres.
};

[[nodiscard]] http::Request encodeChangesRequest(const ChangesRequest &Asked);
[[nodiscard]] ChangesRequest decodeChangesRequest(const http::Request &Asked);
[[nodiscard]] bool hasChanges(const ChangesRequest &Asked,
                              const FleetState &State);
/// @param Waited How long the request waited for a change.
[[nodiscard]] std::string encodeChanges(const ChangesRequest &Asked,
                                        const FleetState &State,
                                        Incarnation IncarnationNumber,
                                        const LoadedVm &Self,
                                        Milliseconds Waited = {});
/// @return std::nullopt if any part of @p Text cannot be parsed.
[[nodiscard]] std::optional<ChangesResponse>
decodeChanges(std::string_view Text);

} // namespace carawaypond::gateway

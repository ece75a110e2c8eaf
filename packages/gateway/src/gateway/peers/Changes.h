#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "gateway/control/FleetState.h"
#include "http/Request.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::gateway {

/// Where a VM tells others what has changed.
constexpr const char *ChangesPath = "/v1/changes";

/// @brief What a VM knows already of the one that it follows.
struct ChangesQuestion {
  Incarnation Life;           ///< Of the VM that is asked, when last heard.
  std::uint64_t Sequence = 0; ///< Of its latest known change of replicas.
  std::uint64_t ConfigVersion = 0;
  Milliseconds Wait{0}; ///< How long the answer may wait for news.
};

/// @brief What has changed.
struct ChangesAnswer {
  Incarnation Life;
  std::uint64_t Sequence = 0;
  std::uint64_t ReplicaRevision = 0;
  bool ReadsStore = false;  ///< Whether the store answers that VM.
  bool HasReplicas = false; ///< Whether it ever knew the replicas.
  bool IsWhole = false;     ///< Whether Put lists all replicas.
  /// How long ago that VM knew its replicas to be as in the store.
  Milliseconds ReplicaAge{0};
  Milliseconds ConfigAge{0}; ///< Like it, for the configuration.
  nlohmann::json Config;     ///< Null if there is no newer one.
  std::vector<ReplicaRecord> Put;
  std::vector<ServerName> Gone;
  std::vector<LoadedVm> FarVms; ///< Of other data centres.
};

[[nodiscard]] http::Request encodeChangesQuestion(const ChangesQuestion &Asked);
[[nodiscard]] ChangesQuestion decodeChangesQuestion(const http::Request &Asked);
[[nodiscard]] bool hasNews(const ChangesQuestion &Asked,
                           const FleetState &State);
[[nodiscard]] std::string encodeChanges(const ChangesQuestion &Asked,
                                        const FleetState &State,
                                        Incarnation Life, const LoadedVm &Self);
/// @return Nothing if @p Text can't be read as a whole.
[[nodiscard]] std::optional<ChangesAnswer> decodeChanges(std::string_view Text);

} // namespace carawaypond::gateway

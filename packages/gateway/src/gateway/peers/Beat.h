#pragma once

#include "coordination/fleet/VmLoad.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypond::gateway {

/// @brief What a VM tells the others from time to time.
struct Beat {
  LoadedVm Vm;
  std::uint64_t ConfigVersion = 0;   ///< In force there.
  std::uint64_t ReplicaRevision = 0; ///< Up to which it knows the replicas.
};

[[nodiscard]] std::string encodeBeat(const Beat &Sent);
/// @return Nothing if @p Text is no heartbeat.
[[nodiscard]] std::optional<Beat> decodeBeat(std::string_view Text);

[[nodiscard]] nlohmann::json encodeLoadedVm(const LoadedVm &Vm);
/// @return Nothing if fields are missing or of another type.
[[nodiscard]] std::optional<LoadedVm>
decodeLoadedVm(const nlohmann::json &Item);

[[nodiscard]] nlohmann::json encodeVm(const VmRecord &Vm);
/// @return Nothing if fields are missing or of another type.
[[nodiscard]] std::optional<VmRecord> decodeVm(const nlohmann::json &Item);

} // namespace carawaypond::gateway

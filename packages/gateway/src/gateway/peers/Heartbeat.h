#pragma once

#include "coordination/fleet/VmLoad.h"
#include "coordination/placement/SlowAnswer.h"
#include "coordination/quarantine/QuarantineReport.h"
#include "coordination/quota/AllocatorRecord.h"
#include "coordination/replicas/ContactAge.h"
#include "core/id/Ids.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::gateway {

/// @brief Periodic message with which a VM announces itself to other VMs.
struct Heartbeat {
  LoadedVm Vm;
  std::uint64_t ConfigVersion = 0; ///< Configuration in force on the sender.
  StoreRevision ReplicaRevision;   ///< Store revision of its replica list.
  /// Store revision of its evacuations; 0 if it never read any.
  StoreRevision EvacuationRevision;
  /// Number of replicas that the sender only presumes to live.
  std::size_t Presumed = 0;
  /// When the store answered any VM, as far as the sender knows.
  std::optional<ContactAge> Contact;
  /// The VM that allocates quotas; nothing if none is known or needed.
  std::optional<AllocatorRecord> Allocator;
  /// The sender's slow answers; empty unless VMs report them.
  std::vector<SlowAnswer> SlowAnswers;
  /// Requests that end replicas.
  std::vector<QuarantineReport> Quarantine;
};

[[nodiscard]] std::string encodeHeartbeat(const Heartbeat &Sent);
/// @return std::nullopt if @p Text is not a heartbeat.
[[nodiscard]] std::optional<Heartbeat> decodeHeartbeat(std::string_view Text);

[[nodiscard]] nlohmann::json encodeLoadedVm(const LoadedVm &Vm);
/// @return std::nullopt if fields are missing or of another type.
[[nodiscard]] std::optional<LoadedVm>
decodeLoadedVm(const nlohmann::json &Item);

[[nodiscard]] nlohmann::json encodeVm(const VmRecord &Vm);
/// @return std::nullopt if fields are missing or of another type.
[[nodiscard]] std::optional<VmRecord> decodeVm(const nlohmann::json &Item);

} // namespace carawaypond::gateway

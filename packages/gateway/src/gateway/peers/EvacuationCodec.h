#pragma once

#include "coordination/evacuation/EvacuationList.h"
#include "coordination/model/JsonReader.h"
#include "gateway/control/FleetState.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace carawaypond::gateway {

/// @brief The evacuations that a VM tells to another one.
struct EvacuationReport {
  EvacuationList List;
  std::uint64_t Sequence = 0; ///< Of the sender's last change of the list.
  /// Time since the list was last known to match the store.
  Milliseconds Age{0};
};

/// @brief Adds the evacuations to a message, if this VM ever read them.
void addEvacuations(nlohmann::json &Body, const FleetState &State);
/// @return Nothing if the message has none. @p Reader fails if they are
/// malformed.
[[nodiscard]] std::optional<EvacuationReport>
readEvacuations(JsonReader &Reader);

} // namespace carawaypond::gateway

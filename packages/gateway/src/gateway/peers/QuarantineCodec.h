#pragma once

#include "coordination/quarantine/QuarantineReport.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <vector>

namespace carawaypond::gateway {

/// Reports in one heartbeat, which has to fit into a datagram.
inline constexpr std::size_t MaxQuarantineReports = 3;

/// @brief Adds the reports, with the newest crashes of each.
void addQuarantine(nlohmann::json &Body,
                   const std::vector<QuarantineReport> &Reports);
/// @return The readable reports. Others are skipped, so that a report never
/// loses a heartbeat.
[[nodiscard]] std::vector<QuarantineReport>
readQuarantine(const nlohmann::json &Body);

} // namespace carawaypond::gateway

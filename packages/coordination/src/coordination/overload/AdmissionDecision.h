#pragma once

#include <cstdint>

namespace carawaypond {

/// @brief Whether a request may start.
enum class AdmissionDecision { Started, Waiting, Refused };

/// @brief A request's place in a TargetAdmission.
struct AdmissionTicket {
  AdmissionDecision Decision = AdmissionDecision::Started;
  std::uint64_t Number = 0;
};

} // namespace carawaypond

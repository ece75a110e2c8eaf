#pragma once

#include "ProofRegistry.h"
#include "ResultChecker.h"

#include <string>

namespace carawaypond::proof {

/// @brief Checks one property in a TrafficModel with random steps.
void proveTrafficProperty(ProofContext &Context, TrafficProperty Property,
                          const std::string &Description);

} // namespace carawaypond::proof

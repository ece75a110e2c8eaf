#pragma once

#include "ProofRegistry.h"
#include "ResultChecker.h"

#include <string>

namespace carawaypond::proof {

/// @brief Tries random worlds for one promise.
void proveInTraffic(ProofContext &Context, TrafficPromise Promise,
                    const std::string &Description);

} // namespace carawaypond::proof

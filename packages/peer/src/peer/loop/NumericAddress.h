#pragma once

#include "core/outcome/Result.h"

#include <string>

namespace carawaypond::peer {

/// @brief Checks that @p Address is "ip:port", so that no name is looked up.
[[nodiscard]] Result<void> checkNumericAddress(const std::string &Address);

} // namespace carawaypond::peer

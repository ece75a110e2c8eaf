#pragma once

#include "core/outcome/Result.h"
#include "ctl/Invocation.h"

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Reads a command line.
/// @param Arguments Without the program's name.
/// @return The invocation, or InvalidInput saying what is wrong.
[[nodiscard]] Result<Invocation>
parseArguments(const std::vector<std::string> &Arguments);

} // namespace carawaypond::ctl

#pragma once

#include "core/outcome/Result.h"
#include "ctl/Invocation.h"

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Parses a command line.
/// @param Arguments The arguments without the program name.
/// @return The invocation, or InvalidInput with a message for the operator.
[[nodiscard]] Result<Invocation>
parseArguments(const std::vector<std::string> &Arguments);

} // namespace carawaypond::ctl

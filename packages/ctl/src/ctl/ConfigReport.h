#pragma once

#include "ctl/Report.h"

#include <optional>
#include <string>

namespace carawaypond::ctl {

/// @brief Checks a configuration document.
/// @param Document JSON text of the document.
/// @param InForce JSON text of the document in force, to compare with.
/// @return The findings; Usage if @p InForce can't be decoded.
[[nodiscard]] Report configReport(const std::string &Document,
                                  const std::optional<std::string> &InForce);

} // namespace carawaypond::ctl

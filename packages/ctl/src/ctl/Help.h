#pragma once

#include <string_view>

namespace carawaypond::ctl {

/// @return The text that --help prints.
[[nodiscard]] std::string_view helpText();

/// @return The text that --version prints.
[[nodiscard]] std::string_view versionText();

} // namespace carawaypond::ctl

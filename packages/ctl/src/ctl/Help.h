#pragma once

#include <string_view>

namespace carawaypond::ctl {

/// @return What --help prints.
[[nodiscard]] std::string_view helpText();

/// @return What --version prints.
[[nodiscard]] std::string_view versionText();

} // namespace carawaypond::ctl

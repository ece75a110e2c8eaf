#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace carawaypond {

inline constexpr std::size_t MaxCentreNameBytes = 253;

/// @return Whether @p Name can name a data centre: printable ASCII without
/// spaces, of a limited length.
[[nodiscard]] inline bool isCentreName(std::string_view Name) {
  auto IsPrintable = [](char Each) { return Each > ' ' && Each <= '~'; };
  return !Name.empty() && Name.size() <= MaxCentreNameBytes &&
         std::all_of(Name.begin(), Name.end(), IsPrintable);
}

} // namespace carawaypond

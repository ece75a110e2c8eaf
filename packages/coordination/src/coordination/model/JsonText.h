#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace carawaypond {

/// @brief Maximum nesting depth of arrays and objects in JSON from other
/// processes. Writing JSON is recursive, so a deeper value could overflow the
/// stack.
constexpr std::size_t MaxJsonDepth = 64;

/// @brief Parses text that came from another process.
/// @return The value; discarded when @p Text is not JSON of at most
/// MaxJsonDepth levels.
[[nodiscard]] nlohmann::json parseJsonText(std::string_view Text);

} // namespace carawaypond

#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace carawaypond {

/// @brief A member of a JSON object, as text.
struct JsonMember {
  std::string_view Key;   ///< Without quotes; escapes are not resolved.
  std::string_view Value; ///< Not checked to be JSON.
};

/// @brief Cuts a JSON object into its members, without parsing their values,
/// so that a value that cannot be parsed does not hide the others.
/// @return Views into @p Text; std::nullopt if it is no object or its brackets
/// do not match.
[[nodiscard]] std::optional<std::vector<JsonMember>>
splitJsonObject(std::string_view Text);

/// @brief Cuts a JSON array into its elements, without parsing them.
/// @return Views into @p Text; std::nullopt if it is no array or its brackets
/// do not match.
[[nodiscard]] std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text);

/// @return The value of the last member named @p Key; empty if there is none.
[[nodiscard]] std::string_view valueOf(const std::vector<JsonMember> &Members,
                                       std::string_view Key);

} // namespace carawaypond

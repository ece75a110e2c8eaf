#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace carawaypond::http {

/// @brief Encodes all but the unreserved characters of RFC 3986, so that the
/// result fits in a path segment or a query value.
[[nodiscard]] std::string percentEncode(std::string_view Text);

/// @brief Decodes %XX; a plus sign is not decoded to a space.
/// @return std::nullopt if a percent sign lacks its two hexadecimal digits.
[[nodiscard]] std::optional<std::string> percentDecode(std::string_view Text);

} // namespace carawaypond::http

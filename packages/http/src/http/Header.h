#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypond::http {

/// @brief One header field.
struct Header {
  std::string Name;
  std::string Value;

  friend bool operator==(const Header &, const Header &) = default;
};

/// @return The value of the first header named @p Name; names are compared
/// without regard to case.
[[nodiscard]] std::optional<std::string>
findHeader(const std::vector<Header> &Headers, std::string_view Name);

} // namespace carawaypond::http

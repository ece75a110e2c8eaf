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

/// @brief The value of the first field called @p Name, in any case.
[[nodiscard]] std::optional<std::string>
findHeader(const std::vector<Header> &Headers, std::string_view Name);

} // namespace carawaypond::http

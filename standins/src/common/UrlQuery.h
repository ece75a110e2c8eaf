#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypond::standins {

/// @brief The query string of a URL, `a=1&b=2`; values are not decoded.
class UrlQuery {
public:
  explicit UrlQuery(std::string_view Text) : m_Text(Text) {}

  /// @return The value of @p Key, or std::nullopt.
  [[nodiscard]] std::optional<std::string> find(std::string_view Key) const;
  /// @return The value of @p Key as a number; @p Default if absent or invalid.
  [[nodiscard]] std::uint64_t integerOr(std::string_view Key,
                                        std::uint64_t Default) const;

private:
  std::string m_Text;
};

} // namespace carawaypond::standins

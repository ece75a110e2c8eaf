#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypond::standins {

/// @brief The query part of a target, `a=1&b=2`; values stand as written.
class UrlQuery {
public:
  explicit UrlQuery(std::string_view Text) : m_Text(Text) {}

  /// @return The value of @p Key, or nothing.
  [[nodiscard]] std::optional<std::string> find(std::string_view Key) const;
  /// @return The value of @p Key as a number; @p Default if absent or not one.
  [[nodiscard]] std::uint64_t integerOr(std::string_view Key,
                                        std::uint64_t Default) const;

private:
  std::string m_Text;
};

} // namespace carawaypond::standins

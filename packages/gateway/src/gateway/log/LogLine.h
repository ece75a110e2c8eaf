#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypond::gateway {

/// @brief Builds one structured log line, a JSON object.
class LogLine {
public:
  /// @param Event Event name; one of those in docs/OPERATIONS.md.
  explicit LogLine(std::string_view Event);

  [[nodiscard]] const std::string &event() const { return m_Event; }
  /// @return The fields of the JSON object without its opening brace and time,
  /// with its closing brace.
  [[nodiscard]] std::string text() const { return m_Text + "}"; }

  LogLine &add(std::string_view Key, std::string_view Value);
  LogLine &add(std::string_view Key, const char *Value) {
    return add(Key, std::string_view(Value));
  }
  LogLine &add(std::string_view Key, const std::string &Value) {
    return add(Key, std::string_view(Value));
  }
  LogLine &add(std::string_view Key, std::int64_t Value);
  LogLine &add(std::string_view Key, std::uint64_t Value);
  LogLine &add(std::string_view Key, int Value) {
    return add(Key, static_cast<std::int64_t>(Value));
  }
  LogLine &add(std::string_view Key, unsigned Value) {
    return add(Key, static_cast<std::uint64_t>(Value));
  }
  LogLine &add(std::string_view Key, bool Value);

private:
  void addKey(std::string_view Key);

  std::string m_Event;
  std::string m_Text;
};

} // namespace carawaypond::gateway

#include "gateway/log/LogLine.h"

namespace carawaypond::gateway {

namespace {

constexpr unsigned char FirstPrintable = 0x20;

void appendEscaped(std::string &To, std::string_view Text) {
  constexpr std::string_view Hex = "0123456789abcdef";
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\') {
      To += '\\';
      To += C;
    } else if (Byte < FirstPrintable || Byte >= 0x7f) {
      To += "\\u00";
      To += Hex[Byte >> 4U];
      To += Hex[Byte & 0xfU];
    } else {
      To += C;
    }
  }
}

} // namespace

LogLine::LogLine(std::string_view Event) : m_Event(Event) {
  m_Text = "\"event\":\"" + m_Event + "\"";
}

void LogLine::addKey(std::string_view Key) {
  m_Text.append(",\"").append(Key).append("\":");
}

LogLine &LogLine::add(std::string_view Key, std::string_view Value) {
  addKey(Key);
  m_Text += '"';
  appendEscaped(m_Text, Value);
  m_Text += '"';
  return *this;
}

LogLine &LogLine::add(std::string_view Key, std::int64_t Value) {
  addKey(Key);
  m_Text += std::to_string(Value);
  return *this;
}

LogLine &LogLine::add(std::string_view Key, std::uint64_t Value) {
  addKey(Key);
  m_Text += std::to_string(Value);
  return *this;
}

LogLine &LogLine::add(std::string_view Key, bool Value) {
  addKey(Key);
  m_Text += Value ? "true" : "false";
  return *this;
}

} // namespace carawaypond::gateway

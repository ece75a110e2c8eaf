#include "coordination/model/JsonText.h"

#include <nlohmann/json.hpp>

namespace carawaypond {

namespace {

/// @brief Tracks the nesting depth of JSON text without parsing it.
class DepthScan {
public:
  [[nodiscard]] bool isTooDeep() const { return m_Depth > MaxJsonDepth; }

  void take(char C) {
    if (m_InString)
      takeInString(C);
    else if (C == '"')
      m_InString = true;
    else if (C == '[' || C == '{')
      ++m_Depth;
    else if ((C == ']' || C == '}') && m_Depth > 0)
      --m_Depth;
  }

private:
  void takeInString(char C) {
    if (m_Escaped)
      m_Escaped = false;
    else if (C == '\\')
      m_Escaped = true;
    else if (C == '"')
      m_InString = false;
  }

  std::size_t m_Depth = 0;
  bool m_InString = false;
  bool m_Escaped = false;
};

bool isTooDeep(std::string_view Text) {
  DepthScan Scan;
  for (char C : Text) {
    Scan.take(C);
    if (Scan.isTooDeep())
      return true;
  }
  return false;
}

} // namespace

nlohmann::json parseJsonText(std::string_view Text) {
  if (isTooDeep(Text))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(Text, nullptr, false);
}

} // namespace carawaypond

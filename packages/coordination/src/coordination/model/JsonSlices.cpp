#include "coordination/model/JsonSlices.h"

#include <algorithm>

namespace carawaypond {

namespace {

constexpr std::string_view Blanks = " \t\r\n";

std::string_view trimmed(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// @return The position after the string that begins at @p From, or npos.
std::size_t endOfString(std::string_view Text, std::size_t From) {
  for (std::size_t I = From + 1; I < Text.size(); ++I) {
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  }
  return std::string_view::npos;
}

/// @brief Cuts the text between the brackets of an object or array at its
/// commas. Brackets of both kinds count alike, since a part may be malformed.
/// @return std::nullopt if the brackets do not match.
std::optional<std::vector<std::string_view>> partsOf(std::string_view Inside) {
  std::vector<std::string_view> Parts;
  std::size_t Depth = 0;
  std::size_t Begin = 0;
  for (std::size_t I = 0; I < Inside.size(); ++I) {
    char C = Inside[I];
    if (C == '"') {
      I = endOfString(Inside, I);
      if (I == std::string_view::npos)
        return std::nullopt;
      --I;
    } else if (C == '[' || C == '{') {
      ++Depth;
    } else if (C == ']' || C == '}') {
      if (Depth == 0)
        return std::nullopt;
      --Depth;
    } else if (C == ',' && Depth == 0) {
      Parts.push_back(trimmed(Inside.substr(Begin, I - Begin)));
      Begin = I + 1;
    }
  }
  if (Depth != 0)
    return std::nullopt;
  std::string_view Last = trimmed(Inside.substr(Begin));
  if (!Last.empty() || !Parts.empty())
    Parts.push_back(Last);
  return Parts;
}

std::optional<std::vector<std::string_view>>
partsBetween(std::string_view Text, char Open, char Close) {
  Text = trimmed(Text);
  if (Text.size() < 2 || Text.front() != Open || Text.back() != Close)
    return std::nullopt;
  return partsOf(Text.substr(1, Text.size() - 2));
}

std::optional<JsonMember> memberOf(std::string_view Part) {
  if (Part.empty() || Part.front() != '"')
    return std::nullopt;
  std::size_t End = endOfString(Part, 0);
  if (End == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = trimmed(Part.substr(End));
  if (Rest.empty() || Rest.front() != ':')
    return std::nullopt;
  return JsonMember{.Key = Part.substr(1, End - 2),
                    .Value = trimmed(Rest.substr(1))};
}

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view Text) {
  auto Parts = partsBetween(Text, '{', '}');
  if (!Parts)
    return std::nullopt;
  std::vector<JsonMember> Members;
  for (std::string_view Each : *Parts)
    if (auto Member = memberOf(Each))
      Members.push_back(*Member);
  return Members;
}

std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text) {
  return partsBetween(Text, '[', ']');
}

std::string_view valueOf(const std::vector<JsonMember> &Members,
                         std::string_view Key) {
  auto Found =
      std::find_if(Members.rbegin(), Members.rend(),
                   [Key](const JsonMember &Each) { return Each.Key == Key; });
  return Found == Members.rend() ? std::string_view() : Found->Value;
}

} // namespace carawaypond

#include "http/PercentCoding.h"

#include <charconv>

namespace carawaypond::http {

namespace {

constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "abcdefghijklmnopqrstuvwxyz"
                                        "0123456789-._~";
constexpr std::string_view HexDigits = "0123456789ABCDEF";
constexpr int HexBase = 16;

/// @return The byte encoded by the two hexadecimal digits at the start of
/// @p Text.
std::optional<char> decodeByte(std::string_view Text) {
  if (Text.size() < 2)
    return std::nullopt;
  unsigned Byte = 0;
  const char *End = Text.data() + 2;
  auto [Stop, Code] = std::from_chars(Text.data(), End, Byte, HexBase);
  if (Code != std::errc() || Stop != End)
    return std::nullopt;
  return static_cast<char>(Byte);
}

} // namespace

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (char C : Text) {
    if (Unreserved.find(C) != std::string_view::npos) {
      Encoded += C;
      continue;
    }
    auto Byte = static_cast<unsigned char>(C);
    Encoded += '%';
    Encoded += HexDigits[Byte / HexBase];
    Encoded += HexDigits[Byte % HexBase];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  std::string Decoded;
  Decoded.reserve(Text.size());
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Decoded += Text[I];
      continue;
    }
    std::optional<char> Byte = decodeByte(Text.substr(I + 1));
    if (!Byte)
      return std::nullopt;
    Decoded += *Byte;
    I += 2;
  }
  return Decoded;
}

} // namespace carawaypond::http

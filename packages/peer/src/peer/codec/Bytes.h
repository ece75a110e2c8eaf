#pragma once

#include <capnp/blob.h>

#include <string>

namespace carawaypond::peer {

/// @return @p Value as Cap'n Proto text. Does not copy: valid as long as
/// @p Value.
[[nodiscard]] inline capnp::Text::Reader toText(const std::string &Value) {
  return {Value.c_str(), Value.size()};
}

/// @return @p Value as Cap'n Proto data. Does not copy: valid as long as
/// @p Value.
[[nodiscard]] inline capnp::Data::Reader toData(const std::string &Value) {
  return {reinterpret_cast<const capnp::byte *>(Value.data()), Value.size()};
}

[[nodiscard]] inline std::string toString(capnp::Text::Reader Value) {
  return {Value.begin(), Value.size()};
}

[[nodiscard]] inline std::string toString(capnp::Data::Reader Value) {
  return {reinterpret_cast<const char *>(Value.begin()), Value.size()};
}

} // namespace carawaypond::peer

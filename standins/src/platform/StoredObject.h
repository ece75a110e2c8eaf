#pragma once

#include <cstdint>
#include <string>

namespace carawaypond::standins {

/// @brief An object of the Object API.
struct StoredObject {
  std::string Kind;
  std::string Name;
  std::uint64_t Version = 0;  ///< 1 after the first write.
  std::uint64_t Revision = 0; ///< The store's revision that wrote this version.
  std::string Value;          ///< JSON text.

  friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

/// @brief Writes @p Object as JSON with kind, name, version and value.
[[nodiscard]] std::string toJsonText(const StoredObject &Object);

} // namespace carawaypond::standins

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::platform {

/// @brief An object of the Object API.
struct Object {
  std::string Kind;
  std::string Name;
  std::uint64_t Version = 0; ///< Increases with each write to the object.
  std::string Value;         ///< JSON text.

  friend bool operator==(const Object &, const Object &) = default;
};

/// @brief Objects of one kind, and the kind's revision at which they were read.
struct ObjectList {
  std::uint64_t Revision = 0; ///< Where the next watch starts.
  std::vector<Object> Objects;

  friend bool operator==(const ObjectList &, const ObjectList &) = default;
};

} // namespace carawaypond::platform

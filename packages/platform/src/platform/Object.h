#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond::platform {

/// @brief An object of the Object API.
struct Object {
  std::string Kind;
  std::string Name;
  std::uint64_t Version = 0; ///< Raised by each write to the object.
  std::string Value;         ///< JSON text.

  friend bool operator==(const Object &, const Object &) = default;
};

/// @brief Objects of one kind, and the kind's revision that they were read at.
struct ObjectList {
  std::uint64_t Revision = 0; ///< To be given to the next watch.
  std::vector<Object> Objects;

  friend bool operator==(const ObjectList &, const ObjectList &) = default;
};

} // namespace carawaypond::platform

#pragma once

#include <cstdint>
#include <string>

namespace carawaypond::peer {

/// @brief A service or index object as transferred between daemons.
struct StoredObject {
  std::string Name{};
  std::uint64_t Version = 0; ///< Version in the Object API.
  std::string Json{};

  friend bool operator==(const StoredObject &, const StoredObject &) = default;
};

} // namespace carawaypond::peer

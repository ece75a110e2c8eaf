#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond::standins {

/// @brief A searchable record of a service.
struct SearchRecord {
  std::vector<std::pair<std::string, std::string>> Fields; ///< "id" first.
  std::uint64_t Amount = 0; ///< In cents; every index version changes it.
};

} // namespace carawaypond::standins

#pragma once

#include <cstddef>
#include <string>

namespace carawaypond::standins {

/// @brief The records that matched.
struct RecordSet {
  std::size_t Count = 0;
  std::string Json = "[]"; ///< A JSON array.
};

} // namespace carawaypond::standins

#pragma once

#include <cstdint>
#include <variant>

namespace carawaypond::standins {

/// @brief The object must not exist (`If-None-Match: *`).
struct MustBeAbsent {};

/// @brief The object must have this version (`If-Match: "V"`).
struct MustHaveVersion {
  std::uint64_t Version = 0;
};

using WriteCondition = std::variant<MustBeAbsent, MustHaveVersion>;

} // namespace carawaypond::standins

#pragma once

#include "platform/StoredObject.h"

#include <cstdint>
#include <variant>

namespace carawaypond::standins {

/// @brief The write took effect.
struct Written {
  StoredObject Object;
};

/// @brief The condition did not hold.
struct ConditionFailed {
  std::uint64_t CurrentVersion = 0; ///< 0 when the object does not exist.
};

/// @brief The value exceeds MaxValueBytes.
struct ValueTooLarge {};

using WriteOutcome = std::variant<Written, ConditionFailed, ValueTooLarge>;

} // namespace carawaypond::standins

#pragma once

#include "core/outcome/Error.h"
#include "platform/Object.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carawaypond::platform {

/// @brief Only write if there is no object of that name.
struct IfAbsent {};

/// @brief Only write if the object still has this version.
struct IfVersion {
  std::uint64_t Version = 0;
};

/// @brief What must hold for a write to take effect.
using WriteCondition = std::variant<IfAbsent, IfVersion>;

/// @brief The write took effect.
struct Written {
  Object Now;
};

/// @brief The condition did not hold; nothing was written by this call.
///
/// This does not settle an earlier call in doubt: its write may be the one
/// that raised the version.
struct Conflict {
  std::optional<std::uint64_t> CurrentVersion; ///< Unless the object is gone.
};

/// @brief The write may have taken effect, now or later.
struct InDoubt {
  Error Cause;
};

/// @brief The write did not take effect, and will not.
struct Refused {
  Error Cause;
};

/// @brief What became of a conditional write.
using WriteOutcome = std::variant<Written, Conflict, InDoubt, Refused>;

} // namespace carawaypond::platform

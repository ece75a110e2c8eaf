#pragma once

#include "core/outcome/Error.h"
#include "platform/Object.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carawaypond::platform {

/// @brief Write only if there is no object of that name.
struct IfAbsent {};

/// @brief Write only if the object still has this version.
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
/// This does not settle an earlier call that is in doubt: the earlier write may
/// be the one that changed the version.
struct Conflict {
  std::optional<std::uint64_t> CurrentVersion; ///< Empty if the object is gone.
};

/// @brief The write may have taken effect, now or later.
struct InDoubt {
  Error Cause;
};

/// @brief The write did not take effect, and will not.
struct Refused {
  Error Cause;
};

/// @brief The outcome of a conditional write.
using WriteOutcome = std::variant<Written, Conflict, InDoubt, Refused>;

} // namespace carawaypond::platform

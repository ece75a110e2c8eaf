#pragma once

#include "core/outcome/Result.h"

#include <functional>

namespace carawaypond::peer {

/// @brief Takes a call's outcome, once; may be called from any thread.
template <typename T> using Reply = std::function<void(Result<T>)>;

} // namespace carawaypond::peer

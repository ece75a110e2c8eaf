#pragma once

#include "core/outcome/Result.h"

#include <functional>

namespace carawaypond::peer {

/// @brief Callback for the result of a call. Called once; may be called from
/// any thread.
template <typename T> using Reply = std::function<void(Result<T>)>;

} // namespace carawaypond::peer

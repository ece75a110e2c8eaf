#pragma once

#include "core/time/Time.h"

#include <string>
#include <unordered_map>

namespace carawaypond::gateway {

/// @brief Tracks the greatest timeout that callers of each route have sent. A
/// caller that sends a smaller one is most likely retrying with the rest of it.
class CallerTimeoutTracker {
public:
  /// @brief Records the timeout of one request.
  /// @return The time that its caller has presumably spent on earlier attempts.
  Milliseconds elapsedBefore(const std::string &RequestRoute,
                             Milliseconds Patience);

private:
  std::unordered_map<std::string, Milliseconds> m_Greatest;
};

} // namespace carawaypond::gateway

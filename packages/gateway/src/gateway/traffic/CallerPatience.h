#pragma once

#include "core/time/Time.h"

#include <string>
#include <unordered_map>

namespace carawaypond::gateway {

/// @brief How long callers of each route wait at most, learnt from what they
/// say. A caller that waits for less has most likely asked before.
class CallerPatience {
public:
  /// @brief Takes one request.
  /// @return How long its caller has waited before it.
  Milliseconds waitedBefore(const std::string &RequestRoute,
                            Milliseconds Patience);

private:
  std::unordered_map<std::string, Milliseconds> m_Greatest;
};

} // namespace carawaypond::gateway

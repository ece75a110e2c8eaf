#include "gateway/traffic/CallerTimeoutTracker.h"

#include <algorithm>

namespace carawaypond::gateway {

Milliseconds
CallerTimeoutTracker::elapsedBefore(const std::string &RequestRoute,
                                    Milliseconds Patience) {
  Milliseconds &Greatest = m_Greatest[RequestRoute];
  Greatest = std::max(Greatest, Patience);
  return Greatest - Patience;
}

} // namespace carawaypond::gateway

#include "gateway/traffic/CallerPatience.h"

#include <algorithm>

namespace carawaypond::gateway {

Milliseconds CallerPatience::waitedBefore(const std::string &Route,
                                          Milliseconds Patience) {
  Milliseconds &Greatest = m_Greatest[Route];
  Greatest = std::max(Greatest, Patience);
  return Greatest - Patience;
}

} // namespace carawaypond::gateway

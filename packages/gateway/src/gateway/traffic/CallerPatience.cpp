#include "gateway/traffic/CallerPatience.h"

#include <algorithm>

namespace carawaypond::gateway {

Milliseconds CallerPatience::waitedBefore(const std::string &RequestRoute,
                                          Milliseconds Patience) {
  Milliseconds &Greatest = m_Greatest[RequestRoute];
  Greatest = std::max(Greatest, Patience);
  return Greatest - Patience;
}

} // namespace carawaypond::gateway

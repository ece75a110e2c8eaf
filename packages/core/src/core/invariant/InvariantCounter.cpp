#include "core/invariant/InvariantCounter.h"

#include <cstdio>
#include <cstdlib>

namespace carawaypond {

std::atomic<std::uint64_t> InvariantCounter::m_Checks = 0;
std::atomic<bool> InvariantCounter::m_ThrowOnFailure = false;

std::uint64_t InvariantCounter::checks() {
  return m_Checks.load(std::memory_order_relaxed);
}

void InvariantCounter::countCheck() {
  m_Checks.fetch_add(1, std::memory_order_relaxed);
}

void InvariantCounter::throwOnFailure(bool Enabled) {
  m_ThrowOnFailure = Enabled;
}

void InvariantCounter::fail(const char *Condition, const std::string &Message,
                            const char *File, int Line) {
  std::string Text = std::string("broken invariant: ") + Message + " [" +
                     Condition + "] at " + File + ":" + std::to_string(Line);
  if (m_ThrowOnFailure)
    throw InvariantViolation(Text);
  std::fprintf(stderr, "%s\n", Text.c_str());
  std::abort();
}

} // namespace carawaypond

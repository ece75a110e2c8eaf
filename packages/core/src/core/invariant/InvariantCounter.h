#pragma once

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace carawaypond {

/// @brief Thrown instead of aborting the process while
/// InvariantCounter::throwOnFailure() is enabled.
struct InvariantViolation : std::logic_error {
  using std::logic_error::logic_error;
};

/// @brief Counts the checks of invariants, for the reports of the proofs.
class InvariantCounter {
public:
  /// @return The number of checks in this process.
  [[nodiscard]] static std::uint64_t checks();

  static void countCheck();

  /// @brief Sets whether a broken invariant throws InvariantViolation instead
  /// of aborting the process.
  static void throwOnFailure(bool Enabled);

  /// @brief Reports a broken invariant: throws, or aborts the process.
  [[noreturn]] static void fail(const char *Condition,
                                const std::string &Message, const char *File,
                                int Line);

private:
  static std::atomic<std::uint64_t> m_Checks;
  static std::atomic<bool> m_ThrowOnFailure;
};

} // namespace carawaypond

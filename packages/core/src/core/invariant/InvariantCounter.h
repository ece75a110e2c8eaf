#pragma once

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace carawaypond {

/// @brief Thrown in place of stopping the process while a test has asked for
/// it with InvariantCounter::throwOnFailure().
struct InvariantViolation : std::logic_error {
  using std::logic_error::logic_error;
};

/// @brief Counts the invariants that were checked, for the proofs' reports.
class InvariantCounter {
public:
  /// @brief How many invariants this process has checked.
  [[nodiscard]] static std::uint64_t checks();

  /// @brief Counts one check.
  static void countCheck();

  /// @brief From now on a broken invariant throws InvariantViolation.
  static void throwOnFailure(bool Enabled);

  /// @brief Reports a broken invariant; never returns.
  [[noreturn]] static void fail(const char *Condition,
                                const std::string &Message, const char *File,
                                int Line);

private:
  static std::atomic<std::uint64_t> m_Checks;
  static std::atomic<bool> m_Throw;
};

} // namespace carawaypond

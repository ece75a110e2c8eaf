#pragma once

#include <cstdint>

namespace carawaypond {

/// @brief How much extra load a service may cause.
struct ExtraLoadOptions {
  double Ratio = 0.05; ///< Extra subrequests earned by each primary one.
  double Burst = 10;   ///< Extra subrequests that may be saved up.
};

/// @brief A token bucket, filled by primary subrequests and drained by hedges
/// and retries. Over any run, extra <= Ratio * primary + Burst.
class ExtraLoadBudget {
public:
  explicit ExtraLoadBudget(ExtraLoadOptions Options);

  [[nodiscard]] double tokens() const { return m_Tokens; }
  [[nodiscard]] std::uint64_t primaries() const { return m_Primaries; }
  [[nodiscard]] std::uint64_t extras() const { return m_Extras; }

  /// @brief Counts a primary subrequest, which earns part of a token.
  void countPrimary();

  /// @brief Takes a token for a hedge or a retry.
  /// @return False when there is none; then it must not be sent.
  [[nodiscard]] bool trySpend();

  /// @brief Changes the rates; tokens saved up are kept up to the new burst.
  void reconfigure(ExtraLoadOptions Options);

private:
  ExtraLoadOptions m_Options;
  double m_Tokens = 0;
  double m_Earned = 0;
  std::uint64_t m_Primaries = 0;
  std::uint64_t m_Extras = 0;
};

} // namespace carawaypond

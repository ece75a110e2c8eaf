#pragma once

#include <cstdint>

namespace carawaypond {

/// @brief Limit on a service's extra subrequests.
struct ExtraLoadOptions {
  double Ratio = 0.05; ///< Tokens earned by each primary subrequest.
  double Burst = 10;   ///< Maximum number of tokens.
};

/// @brief A token bucket that primary subrequests fill and hedges and retries
/// drain. At any time, extra <= Ratio * primary + Burst.
class ExtraLoadBudget {
public:
  explicit ExtraLoadBudget(ExtraLoadOptions Options);

  [[nodiscard]] double tokens() const { return m_Tokens; }
  [[nodiscard]] std::uint64_t primaries() const { return m_Primaries; }
  [[nodiscard]] std::uint64_t extras() const { return m_Extras; }

  /// @brief Counts a primary subrequest, which earns part of a token.
  void countPrimary();

  /// @brief Takes a token for a hedge or a retry.
  /// @return False if there is no token; then the subrequest must not be sent.
  [[nodiscard]] bool trySpend();

  /// @brief Changes the limits. Tokens are kept, up to the new burst.
  void reconfigure(ExtraLoadOptions Options);

private:
  ExtraLoadOptions m_Options;
  double m_Tokens = 0;
  double m_Earned = 0;
  std::uint64_t m_Primaries = 0;
  std::uint64_t m_Extras = 0;
};

} // namespace carawaypond

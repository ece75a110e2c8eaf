#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <random>

namespace carawaypond::standins {

/// @brief Injected faults of the platform, changeable at run time.
class PlatformFaults {
public:
  explicit PlatformFaults(std::uint64_t Seed) : m_Random(Seed) {}

  /// @return Whether connections are closed without an answer.
  [[nodiscard]] bool down() const { return m_Down; }
  [[nodiscard]] Duration delay() const { return m_Delay; }
  [[nodiscard]] Duration vmListLag() const { return m_VmListLag; }
  /// @return The delay before a watch reports a change.
  [[nodiscard]] Duration watchLag() const { return m_WatchLag; }

  /// @brief Sets the faults given in @p Body and keeps the others.
  ///
  /// `down`, `delay_ms`, `vm_list_lag_ms`; `lose_answer_after_write`, an
  /// integer for the next writes or a fraction for a probability; `stale_watch`
  /// with `stale_watch_ms`; `reject_reads` and `reject_writes`, probabilities
  /// of 503.
  Result<void> apply(const nlohmann::json &Body);
  /// @brief Decides whether this write's answer is lost; consumes one of the
  /// counted losses.
  [[nodiscard]] bool shouldLoseAnswer();
  [[nodiscard]] bool shouldRejectRead() { return happens(m_RejectReads); }
  [[nodiscard]] bool shouldRejectWrite() { return happens(m_RejectWrites); }

private:
  [[nodiscard]] bool happens(double Probability);

  std::mt19937_64 m_Random;
  bool m_Down = false;
  Milliseconds m_Delay{0};
  Milliseconds m_VmListLag{0};
  Milliseconds m_WatchLag{0};
  std::uint64_t m_LostAnswers = 0;
  double m_LostAnswerRatio = 0;
  double m_RejectReads = 0;
  double m_RejectWrites = 0;
};

} // namespace carawaypond::standins

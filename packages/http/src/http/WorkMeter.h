#pragma once

#include "core/time/Time.h"

#include <cstddef>

namespace carawaypond::http {

/// @brief Limits on the work for the bytes of one connection.
///
/// A step is a header line, the header of a chunk, or a read that holds
/// neither.
struct WorkLimits {
  /// Bytes that are read in one turn; a turn ends after the read that reaches
  /// them.
  std::size_t BytesPerTurn = std::size_t{32} << 10;
  /// Steps of one turn. A turn may exceed them by those of its last read.
  std::size_t StepsPerTurn = 256;
  /// Steps that an exchange may take whatever its size.
  std::size_t FreeSteps = 1'024;
  /// Bytes that allow one further step. The framing of a chunk takes 5 bytes at
  /// least, so that in chunks of 12 most bytes are payload.
  std::size_t BytesPerStep = 12;
  /// Steps that each second allows further: a slow peer takes little processor
  /// time.
  std::size_t StepsPerSecond = 20;
};

/// @brief What to do after some work for a connection.
enum class WorkVerdict {
  Continue,
  Yield, ///< Let other connections have their turn first.
  Close, ///< The bytes cost far more work than they carry.
};

/// @brief Bounds the processor time that one connection takes: in one turn, and
/// by exchange in proportion to its bytes.
class WorkMeter {
public:
  explicit WorkMeter(WorkLimits Limits = {}) : m_Limits(Limits) {}

  /// @brief Begins an exchange; its allowance does not depend on earlier ones.
  void begin(TimePoint Now);
  /// @brief Begins a turn: others had theirs since the last one.
  void beginTurn();
  /// @brief Adds work that was done, or that is about to be done.
  WorkVerdict add(std::size_t Bytes, std::size_t Steps, TimePoint Now);

private:
  /// @return The steps that the message may have taken by @p Now.
  [[nodiscard]] std::size_t allowance(TimePoint Now) const;

  WorkLimits m_Limits;
  TimePoint m_BegunAt;
  std::size_t m_Bytes = 0; ///< Of the exchange.
  std::size_t m_Steps = 0; ///< Of the exchange.
  std::size_t m_TurnBytes = 0;
  std::size_t m_TurnSteps = 0;
};

} // namespace carawaypond::http

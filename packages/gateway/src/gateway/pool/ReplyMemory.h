#pragma once

#include "gateway/pool/fwd.h"

#include <cstddef>
#include <unordered_set>

namespace carawaypond::gateway {

/// @brief Memory budget for answers, shared by all connections.
///
/// Protects against replicas that send endless answers: each answer may use
/// FreeBytesPerReply, and larger ones share a common limit for the rest. When
/// it is reached, the largest answer that is still being read is dropped.
class ReplyMemory {
public:
  /// Size up to which an answer needs no reservation.
  static constexpr std::size_t FreeBytesPerReply = std::size_t{8} << 10;

  explicit ReplyMemory(std::size_t Limit) : m_Limit(Limit) {}
  ReplyMemory(const ReplyMemory &) = delete;
  ReplyMemory &operator=(const ReplyMemory &) = delete;

  /// @return The number of reserved bytes.
  [[nodiscard]] std::size_t used() const { return m_Used; }

  /// @brief Extends a reservation, dropping larger ones if it must.
  /// @return Whether the memory suffices; false if no larger one can be
  /// dropped.
  [[nodiscard]] bool tryReserve(ReplyReservation &For, std::size_t Bytes);
  void release(ReplyReservation &From);

private:
  [[nodiscard]] ReplyReservation *largestDroppable() const;

  std::size_t m_Limit;
  std::size_t m_Used = 0;
  std::unordered_set<ReplyReservation *> m_Holders; ///< Of more than 0 bytes.
};

} // namespace carawaypond::gateway

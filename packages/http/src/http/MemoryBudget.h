#pragma once

#include "http/fwd.h"

#include <cstddef>
#include <unordered_set>

namespace carawaypond::http {

/// @brief Memory that messages of many connections share.
///
/// A limit for each message does not bound what all of them use together. When
/// the budget is used up, the largest message that may be dropped makes room
/// for a smaller one.
class MemoryBudget {
public:
  explicit MemoryBudget(std::size_t Limit) : m_Limit(Limit) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// @return The number of reserved bytes.
  [[nodiscard]] std::size_t used() const { return m_Used; }

  /// @brief Extends a reservation, dropping larger ones if it must.
  /// @return Whether the memory suffices.
  [[nodiscard]] bool tryReserve(MemoryReservation &For, std::size_t Bytes);
  /// @brief Releases all of a reservation.
  void release(MemoryReservation &From);

private:
  [[nodiscard]] MemoryReservation *largestDroppable() const;

  std::size_t m_Limit;
  std::size_t m_Used = 0;
  std::unordered_set<MemoryReservation *> m_Holders; ///< Of more than 0 bytes.
};

} // namespace carawaypond::http

#pragma once

#include "http/MemoryBudget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace carawaypond::http {

/// @brief RAII reservation of the memory that one message uses.
class MemoryReservation {
public:
  /// Size up to which a message needs no reservation.
  static constexpr std::size_t FreeBytes = std::size_t{8} << 10;

  /// @param OnDropped Called when the message is to be dropped, as its memory
  /// is needed for a smaller one; empty if it may not be dropped.
  explicit MemoryReservation(std::shared_ptr<MemoryBudget> Budget,
                             std::function<void()> OnDropped = {})
      : m_Budget(std::move(Budget)), m_OnDropped(std::move(OnDropped)) {}
  MemoryReservation(const MemoryReservation &) = delete;
  MemoryReservation &operator=(const MemoryReservation &) = delete;
  ~MemoryReservation() { reset(); }

  /// @return The number of reserved bytes.
  [[nodiscard]] std::size_t bytes() const { return m_Bytes; }
  [[nodiscard]] bool isDroppable() const { return m_OnDropped != nullptr; }

  /// @brief Extends the reservation to a message of @p Bytes.
  /// @return Whether the memory suffices.
  [[nodiscard]] bool tryGrow(std::size_t Bytes) {
    std::size_t Held = FreeBytes + m_Bytes;
    if (Bytes <= Held)
      return true;
    if (!m_Budget->tryReserve(*this, Bytes - Held))
      return false;
    m_Bytes += Bytes - Held;
    return true;
  }
  void reset() {
    if (m_Bytes == 0)
      return;
    m_Budget->release(*this);
    m_Bytes = 0;
  }
  /// @brief Keeps the memory of a message that is complete: from now on it is
  /// not dropped.
  void retain() { m_OnDropped = nullptr; }
  /// @brief Releases the memory and has the message dropped.
  void drop() {
    reset();
    m_OnDropped();
  }

private:
  std::shared_ptr<MemoryBudget> m_Budget;
  std::function<void()> m_OnDropped;
  std::size_t m_Bytes = 0;
};

} // namespace carawaypond::http

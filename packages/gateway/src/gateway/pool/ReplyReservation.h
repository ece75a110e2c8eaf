#pragma once

#include "gateway/pool/ReplyMemory.h"

#include <functional>
#include <memory>
#include <utility>

namespace carawaypond::gateway {

/// @brief RAII reservation of the ReplyMemory that one answer uses.
class ReplyReservation {
public:
  /// @param OnDropped Called when the answer is to be dropped, as the memory is
  /// needed for a smaller one.
  ReplyReservation(std::shared_ptr<ReplyMemory> Memory,
                   std::function<void()> OnDropped)
      : m_Memory(std::move(Memory)), m_OnDropped(std::move(OnDropped)) {}
  ReplyReservation(const ReplyReservation &) = delete;
  ReplyReservation &operator=(const ReplyReservation &) = delete;
  ~ReplyReservation() { reset(); }

  /// @return The number of reserved bytes.
  [[nodiscard]] std::size_t bytes() const { return m_Bytes; }
  [[nodiscard]] bool isDroppable() const { return m_OnDropped != nullptr; }

  /// @brief Extends the reservation to an answer of @p Bytes.
  /// @return Whether the memory suffices.
  [[nodiscard]] bool tryGrow(std::size_t Bytes) {
    std::size_t Held = ReplyMemory::FreeBytesPerReply + m_Bytes;
    if (Bytes <= Held)
      return true;
    if (!m_Memory->tryReserve(*this, Bytes - Held))
      return false;
    m_Bytes += Bytes - Held;
    return true;
  }
  void reset() {
    if (m_Bytes == 0)
      return;
    m_Memory->release(*this);
    m_Bytes = 0;
  }
  /// @brief Keeps the memory of an answer that is complete: it is no longer
  /// dropped.
  void retain() { m_OnDropped = nullptr; }
  /// @brief Drops the answer.
  void drop() {
    reset();
    m_OnDropped();
  }

private:
  std::shared_ptr<ReplyMemory> m_Memory;
  std::function<void()> m_OnDropped;
  std::size_t m_Bytes = 0;
};

} // namespace carawaypond::gateway

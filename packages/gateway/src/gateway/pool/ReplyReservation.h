#pragma once

#include "gateway/pool/ReplyMemory.h"

#include <memory>

namespace carawaypond::gateway {

/// @brief RAII reservation of the ReplyMemory that one answer uses.
class ReplyReservation {
public:
  explicit ReplyReservation(std::shared_ptr<ReplyMemory> Memory)
      : m_Memory(std::move(Memory)) {}
  ReplyReservation(const ReplyReservation &) = delete;
  ReplyReservation &operator=(const ReplyReservation &) = delete;
  ~ReplyReservation() { reset(); }

  /// @brief Extends the reservation to an answer of @p Bytes.
  /// @return Whether the memory suffices.
  [[nodiscard]] bool tryGrow(std::size_t Bytes) {
    std::size_t Held = ReplyMemory::FreeBytesPerReply + m_Reserved;
    if (Bytes <= Held)
      return true;
    if (!m_Memory->tryReserve(Bytes - Held))
      return false;
    m_Reserved += Bytes - Held;
    return true;
  }
  void reset() {
    m_Memory->release(m_Reserved);
    m_Reserved = 0;
  }

private:
  std::shared_ptr<ReplyMemory> m_Memory;
  std::size_t m_Reserved = 0;
};

} // namespace carawaypond::gateway

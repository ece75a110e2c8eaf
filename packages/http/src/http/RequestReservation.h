#pragma once

#include "http/RequestMemory.h"

#include <cstddef>

namespace carawaypond::http::internal {

/// @brief RAII reservation of the RequestMemory that one request uses.
class RequestReservation {
public:
  /// @param Memory Must outlive the reservation.
  explicit RequestReservation(RequestMemory &Memory) : m_Memory(Memory) {}
  RequestReservation(const RequestReservation &) = delete;
  RequestReservation &operator=(const RequestReservation &) = delete;
  ~RequestReservation() { m_Memory.release(m_Bytes); }

  /// @brief Extends the reservation to a request of @p Bytes.
  /// @return Whether the memory suffices.
  [[nodiscard]] bool tryGrow(std::size_t Bytes) {
    std::size_t Held = RequestMemory::FreeBytesPerRequest + m_Bytes;
    if (Bytes <= Held)
      return true;
    if (!m_Memory.tryReserve(Bytes - Held))
      return false;
    m_Bytes += Bytes - Held;
    return true;
  }

private:
  RequestMemory &m_Memory;
  std::size_t m_Bytes = 0;
};

} // namespace carawaypond::http::internal

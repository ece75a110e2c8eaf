#pragma once

#include <cstddef>

namespace carawaypond::http::internal {

/// @brief Memory budget for the requests that a listener's sessions hold.
///
/// Each request may use FreeBytesPerRequest; larger ones share a common limit
/// for the rest.
class RequestMemory {
public:
  /// Size up to which a request needs no reservation.
  static constexpr std::size_t FreeBytesPerRequest = std::size_t{8} << 10;

  explicit RequestMemory(std::size_t Limit) : m_Limit(Limit) {}

  /// @brief Reserves @p Bytes if the limit allows it.
  /// @return Whether they were reserved.
  [[nodiscard]] bool tryReserve(std::size_t Bytes) {
    if (Bytes > m_Limit - m_Used)
      return false;
    m_Used += Bytes;
    return true;
  }
  void release(std::size_t Bytes) { m_Used -= Bytes; }

private:
  std::size_t m_Limit;
  std::size_t m_Used = 0;
};

} // namespace carawaypond::http::internal

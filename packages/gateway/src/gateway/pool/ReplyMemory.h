#pragma once

#include <cstddef>

namespace carawaypond::gateway {

/// @brief Memory budget for answers that are being read, shared by all
/// connections.
///
/// Protects against replicas that send endless answers: each answer may use
/// FreeBytesPerReply, and larger ones share a common limit for the rest.
class ReplyMemory {
public:
  /// Size up to which an answer needs no reservation.
  static constexpr std::size_t FreeBytesPerReply = std::size_t{64} << 10;

  explicit ReplyMemory(std::size_t Limit) : m_Limit(Limit) {}

  /// @return The number of reserved bytes.
  [[nodiscard]] std::size_t used() const { return m_Used; }

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

} // namespace carawaypond::gateway

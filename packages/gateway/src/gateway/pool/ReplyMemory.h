#pragma once

#include <cstddef>

namespace carawaypond::gateway {

/// @brief Memory for answers that are being read, shared by all connections.
///
/// Answers replicas that send without end: a small answer always has room, the
/// larger ones have it only within a limit for all of them together.
class ReplyMemory {
public:
  /// What each answer has without asking.
  static constexpr std::size_t FreeBytes = std::size_t{64} << 10;

  explicit ReplyMemory(std::size_t Limit) : m_Limit(Limit) {}

  /// @return Bytes that are taken.
  [[nodiscard]] std::size_t used() const { return m_Used; }

  /// @return Whether there was room for @p Bytes more, which are taken then.
  [[nodiscard]] bool tryTake(std::size_t Bytes) {
    if (Bytes > m_Limit - m_Used)
      return false;
    m_Used += Bytes;
    return true;
  }
  void giveBack(std::size_t Bytes) { m_Used -= Bytes; }

private:
  std::size_t m_Limit;
  std::size_t m_Used = 0;
};

} // namespace carawaypond::gateway

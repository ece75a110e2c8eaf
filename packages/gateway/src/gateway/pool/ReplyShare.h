#pragma once

#include "gateway/pool/ReplyMemory.h"

#include <memory>

namespace carawaypond::gateway {

/// @brief What one answer takes of the memory for answers; given back at its
/// end.
class ReplyShare {
public:
  explicit ReplyShare(std::shared_ptr<ReplyMemory> Memory)
      : m_Memory(std::move(Memory)) {}
  ReplyShare(const ReplyShare &) = delete;
  ReplyShare &operator=(const ReplyShare &) = delete;
  ~ReplyShare() { reset(); }

  /// @brief The answer has grown to @p Bytes.
  /// @return Whether there is room for it.
  [[nodiscard]] bool tryGrow(std::size_t Bytes) {
    std::size_t Held = ReplyMemory::FreeBytes + m_Taken;
    if (Bytes <= Held)
      return true;
    if (!m_Memory->tryTake(Bytes - Held))
      return false;
    m_Taken += Bytes - Held;
    return true;
  }
  void reset() {
    m_Memory->giveBack(m_Taken);
    m_Taken = 0;
  }

private:
  std::shared_ptr<ReplyMemory> m_Memory;
  std::size_t m_Taken = 0;
};

} // namespace carawaypond::gateway

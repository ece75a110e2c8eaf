#pragma once

#include "http/FieldMemory.h"

#include <cstddef>
#include <string_view>
#include <utility>

namespace carawaypond::http {

/// @brief Counts the lines of a message's head as its bytes arrive, before they
/// are parsed: parsing a line costs far more than finding its end.
class HeadLines {
public:
  /// @return About how much memory the fields of the lines so far use. A head
  /// is parsed as it arrives, long before its end.
  [[nodiscard]] std::size_t fieldMemory() const {
    return m_Lines * FieldOverheadBytes + m_Bytes;
  }

  /// @return The number of lines that end in @p Received; 0 once the head has
  /// ended.
  [[nodiscard]] std::size_t count(std::string_view Received) {
    std::size_t Lines = 0;
    while (!m_HasEnded) {
      std::size_t End = Received.find('\n');
      if (End == std::string_view::npos) {
        m_LineBytes += Received.size();
        return Lines;
      }
      std::size_t Length = std::exchange(m_LineBytes, 0) + End;
      m_HasEnded = Length <= EmptyLineBytes;
      ++Lines;
      ++m_Lines;
      m_Bytes += Length;
      Received.remove_prefix(End + 1);
    }
    return Lines;
  }

private:
  static constexpr std::size_t EmptyLineBytes = 1; ///< The carriage return.

  std::size_t m_Lines = 0;     ///< That have ended.
  std::size_t m_Bytes = 0;     ///< Of the lines that have ended.
  std::size_t m_LineBytes = 0; ///< Of the line that has begun.
  bool m_HasEnded = false;
};

} // namespace carawaypond::http

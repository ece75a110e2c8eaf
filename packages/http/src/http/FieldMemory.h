#pragma once

#include <cstddef>

namespace carawaypond::http {

/// @return About how much memory the parsed header fields of a message use; far
/// more than their text if they are short.
template <typename Fields>
[[nodiscard]] std::size_t fieldMemory(const Fields &Head) {
  constexpr std::size_t Overhead = 96; // Of one field, besides its text.
  std::size_t Bytes = 0;
  for (const auto &Field : Head)
    Bytes += Overhead + Field.name_string().size() + Field.value().size();
  return Bytes;
}

} // namespace carawaypond::http

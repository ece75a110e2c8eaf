#pragma once

#include <cstddef>

namespace carawaypond::http {

/// Memory of one parsed header field, besides its text.
inline constexpr std::size_t FieldOverheadBytes = 96;

/// @return About how much memory the parsed header fields of a message use; far
/// more than their text if they are short.
template <typename Fields>
[[nodiscard]] std::size_t fieldMemory(const Fields &Head) {
  std::size_t Bytes = 0;
  for (const auto &Field : Head)
    Bytes +=
        FieldOverheadBytes + Field.name_string().size() + Field.value().size();
  return Bytes;
}

} // namespace carawaypond::http

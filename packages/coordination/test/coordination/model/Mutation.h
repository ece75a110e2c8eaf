#pragma once

#include <rapidcheck.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond {

/// @brief Overwrites the bytes at the given positions.
inline std::string
mutated(std::string Text, const std::vector<std::pair<std::size_t, char>> &At) {
  for (const auto &[Place, Byte] : At)
    Text[Place % Text.size()] = Byte;
  return Text;
}

/// @return @p Valid with some bytes overwritten and possibly truncated.
inline rc::Gen<std::string> mutationsOf(const std::string &Valid) {
  auto Edits = rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
      rc::gen::pair(rc::gen::inRange<std::size_t>(0, Valid.size()),
                    rc::gen::arbitrary<char>()));
  auto Lengths = rc::gen::inRange<std::size_t>(0, Valid.size() + 1);
  return rc::gen::map(
      rc::gen::pair(Edits, Lengths), [Valid](const auto &Drawn) {
        return mutated(Valid, Drawn.first).substr(0, Drawn.second);
      });
}

} // namespace carawaypond

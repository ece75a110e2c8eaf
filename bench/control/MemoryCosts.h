#pragma once

#include <iosfwd>

namespace carawaypond::bench {

/// @brief Prints one JSON line for each kind of state and each size: the heap
/// bytes that one VM uses for it.
void measureMemory(std::ostream &Out);

} // namespace carawaypond::bench

#pragma once

#include <iosfwd>

namespace carawaypond::bench {

/// @brief Prints one JSON line for each part of a query's way and each
/// fan-out: processor time per query or per subrequest.
void measureDecisions(std::ostream &Out);

} // namespace carawaypond::bench

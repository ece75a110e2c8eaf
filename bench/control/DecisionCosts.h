#pragma once

#include <iosfwd>

namespace carawaypond::bench {

/// @brief Prints one JSON line for each stage of query processing and each
/// fan-out: CPU time per query and per subrequest.
void measureDecisions(std::ostream &Out);

} // namespace carawaypond::bench

#pragma once

namespace carawaypond {

/// @brief Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those that it
/// starts. Before a process handles them, they would end it; blocked ones stay
/// pending.
void blockStopSignals();
/// @brief Unblocks them in this thread. Pending ones are delivered at once, so
/// their handlers must be in place.
void unblockStopSignals();

} // namespace carawaypond

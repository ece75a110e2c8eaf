#pragma once

namespace carawaypond {

/// @brief State of a replica by its recent answers.
enum class ReplicaHealth {
  Well,
  Slow,     ///< Several times slower than normal.
  Failing,  ///< A large share of requests fails or is lost.
  Refusing, ///< Refuses requests without running them.
};

} // namespace carawaypond

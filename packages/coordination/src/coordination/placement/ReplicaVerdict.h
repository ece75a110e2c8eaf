#pragma once

namespace carawaypond {

/// @brief What is held of a replica by its own recent answers.
enum class ReplicaVerdict {
  Well,
  Slow,     ///< Several times slower than normal.
  Failing,  ///< Fails or breaks off a good part of the requests.
  Refusing, ///< Refuses requests without running them.
};

} // namespace carawaypond

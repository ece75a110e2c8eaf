#pragma once

#include <cstddef>
#include <cstdint>

namespace carawaypond::standins {

/// @brief Counters of one server. Wall times are microseconds; 0 for never.
struct ServerStats {
  std::uint64_t Received = 0;
  std::uint64_t Started = 0;
  std::uint64_t Finished = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Cancelled = 0;
  std::size_t MaxRunning = 0;
  std::size_t MaxQueued = 0;
  std::int64_t LeavingSince = 0; ///< When leaving was first announced.
  std::int64_t LastReceivedAfterLeaving = 0;
  std::uint64_t ReceivedAfterLeaving = 0;
};

} // namespace carawaypond::standins

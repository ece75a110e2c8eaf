#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypond::standins {

/// @brief An event of a subrequest.
enum class RunEvent { Received, Started, Finished, Refused, Cancelled };

/// @brief An entry of the run log.
struct RunLogEntry {
  std::uint64_t Seq = 0; ///< Set by the log, from 1.
  std::string Id;
  std::string Token;        ///< The request's echo token, if any.
  std::string_view Service; ///< Outlives the log.
  std::string_view Server;  ///< Outlives the log.
  std::string_view Reason;  ///< Of a refusal; a constant.
  std::uint64_t Version = 0;
  std::int64_t WallMicros = 0;
  std::uint32_t Shard = 0;
  RunEvent Event = RunEvent::Received;
};

} // namespace carawaypond::standins

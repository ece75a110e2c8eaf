#pragma once

#include <string_view>

namespace carawaypond::standins {

/// @brief Why a subrequest was refused. A refused subrequest never runs.
struct Refusal {
  unsigned Status = 503;
  std::string_view Reason;

  friend bool operator==(const Refusal &, const Refusal &) = default;
};

inline constexpr Refusal ShedRefusal{503, "shed"};
inline constexpr Refusal DrainingRefusal{503, "draining"};
inline constexpr Refusal ColdRefusal{503, "cold"};
inline constexpr Refusal DeadlineRefusal{408, "deadline"};
inline constexpr Refusal CancelledRefusal{499, "cancelled"};
inline constexpr Refusal VersionGoneRefusal{409, "version_gone"};
inline constexpr Refusal VersionUnknownRefusal{409, "version_unknown"};
inline constexpr Refusal WrongLayoutRefusal{409, "wrong_layout"};
inline constexpr Refusal ShardUnknownRefusal{409, "shard_unknown"};

} // namespace carawaypond::standins

#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

namespace carawaypond {

/// @brief A replica's last slow answer to one VM, as that VM reports it.
struct SlowAnswer {
  ServerName Replica;
  Milliseconds Age{0}; ///< At the time of the report.

  friend bool operator==(const SlowAnswer &, const SlowAnswer &) = default;
};

} // namespace carawaypond

#pragma once

#include "core/id/Ids.h"

#include <string>

namespace carawaypond {

/// @brief An entry of the platform's VM list, which may be out of date.
struct ListedVm {
  VmName Name;
  DataCentre Centre;
  std::string PeerAddress; ///< "ip:port".
  bool Leaving = false;
};

} // namespace carawaypond

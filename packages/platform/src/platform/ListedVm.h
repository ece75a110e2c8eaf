#pragma once

#include "core/id/Ids.h"

#include <string>

namespace carawaypond::platform {

/// @brief A VM as the platform's list describes it; the list may be outdated.
struct ListedVm {
  VmName Name;
  DataCentre Centre;
  std::string Address; ///< "ip:port" of its peer port.
  bool Leaving = false;

  friend bool operator==(const ListedVm &, const ListedVm &) = default;
};

} // namespace carawaypond::platform

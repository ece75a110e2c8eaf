#pragma once

#include "core/id/Ids.h"

#include <string>

namespace carawaypond {

/// @brief A VM to exchange digests with now.
struct Contact {
  VmName Name;
  std::string PeerAddress; ///< "ip:port".
  bool Full = false;       ///< Send a full digest, see Membership::fill().

  friend bool operator==(const Contact &, const Contact &) = default;
};

} // namespace carawaypond

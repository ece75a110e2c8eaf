#pragma once

#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief How a subrequest ended at its owner.
enum class PeerOutcome {
  Answered,    ///< The payload is the backend server's answer.
  NotRun,      ///< It did not run and will not.
  InDoubt,     ///< It may have run.
  VersionGone, ///< Not run: the replica does not serve that version.
};

/// @brief The owner's answer to one subrequest.
struct PeerResult {
  SubrequestId Id{};
  PeerOutcome Outcome = PeerOutcome::InDoubt;
  IndexVersion Version{};
  std::uint64_t Layout = 0;
  std::string Payload{}; ///< The backend server's body when Answered.
  std::string Reason{};  ///< A fixed word unless Answered.
  std::vector<VersionRange> Ranges{}; ///< What the replica serves, if known.
  std::optional<ServerName> Server{}; ///< Who answered, if any server did.
  Duration Wait{}; ///< That a new subrequest of the service would have there.

  friend bool operator==(const PeerResult &, const PeerResult &) = default;
};

} // namespace carawaypond::peer

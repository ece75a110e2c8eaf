#pragma once

#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Outcome of a subrequest at the VM that owns the replica.
enum class PeerOutcome {
  Answered,    ///< The payload holds the backend server's answer.
  NotRun,      ///< It did not run and will not run.
  InDoubt,     ///< It may have run.
  VersionGone, ///< Not run: the replica does not serve the version.
};

/// @brief The owner's answer to one subrequest.
struct PeerResult {
  SubrequestId Id{};
  PeerOutcome Outcome = PeerOutcome::InDoubt;
  IndexVersion Version{};
  std::uint64_t Layout = 0;
  std::string Payload{}; ///< The backend server's body when Answered.
  std::string Reason{};  ///< Fixed reason code; empty if Answered.
  std::vector<VersionRange> Ranges{}; ///< Served by the replica, if known.
  std::optional<ServerName> Server{}; ///< Answering server, if any.
  Duration Wait{}; ///< Expected queueing time of a new subrequest there.

  friend bool operator==(const PeerResult &, const PeerResult &) = default;
};

} // namespace carawaypond::peer

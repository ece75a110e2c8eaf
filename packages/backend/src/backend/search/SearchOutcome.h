#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace carawaypond::backend {

/// @brief The server ran the subrequest and returned a complete answer.
struct SearchAnswer {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::string Records; ///< The records as JSON, comma-separated, no brackets.
  IndexVersion Oldest; ///< Oldest version that the replica serves.
  IndexVersion Newest; ///< Newest version that the replica serves.
  bool Draining = false;
};

/// @brief The server states that it has not run the subrequest and will not.
struct SearchRefused {
  std::string Reason; ///< One of the values in docs/INTERFACE.md.
  std::optional<IndexVersion> Oldest;
  std::optional<IndexVersion> Newest;
  bool Draining = false;

  /// @return Whether the server does not serve the requested index version,
  /// layout or shard, but may serve others.
  [[nodiscard]] bool isAboutVersion() const {
    return Reason == "version_gone" || Reason == "version_unknown" ||
           Reason == "wrong_layout" || Reason == "shard_unknown";
  }
};

/// @brief The server states that it ran the subrequest but has no answer.
struct SearchFailed {
  std::string Reason;
  bool Draining = false;
};

/// @brief Some bytes of the subrequest were sent and no valid response arrived;
/// the server may have run it.
struct SearchInDoubt {
  Error Cause;
};

/// @brief No byte of the subrequest was sent.
struct SearchNotSent {
  Error Cause;
};

/// @brief The outcome of one subrequest at one backend server.
using SearchOutcome = std::variant<SearchAnswer, SearchRefused, SearchFailed,
                                   SearchInDoubt, SearchNotSent>;

} // namespace carawaypond::backend

#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace carawaypond::backend {

/// @brief The server ran the subrequest and answered it whole.
struct SearchAnswer {
  IndexVersion Version;
  std::uint64_t Layout = 0;
  std::string Records; ///< The records as JSON, comma-separated, no brackets.
  IndexVersion Oldest; ///< Of the versions that the replica serves.
  IndexVersion Newest;
  bool Draining = false;
};

/// @brief The server says that it did not run the subrequest and won't.
struct SearchRefused {
  std::string Reason; ///< One of the words of docs/INTERFACE.md.
  std::optional<IndexVersion> Oldest;
  std::optional<IndexVersion> Newest;
  bool Draining = false;

  /// @brief Whether another index version or layout would have been served.
  [[nodiscard]] bool isAboutVersion() const {
    return Reason == "version_gone" || Reason == "version_unknown" ||
           Reason == "wrong_layout" || Reason == "shard_unknown";
  }
};

/// @brief The server says that it ran the subrequest and has no answer.
struct SearchFailed {
  std::string Reason;
  bool Draining = false;
};

/// @brief Some of the subrequest was sent, and nothing valid came back.
struct SearchInDoubt {
  Error Cause;
};

/// @brief No byte of the subrequest was sent.
struct SearchNotSent {
  Error Cause;
};

/// @brief What became of one subrequest at one backend server.
using SearchOutcome = std::variant<SearchAnswer, SearchRefused, SearchFailed,
                                   SearchInDoubt, SearchNotSent>;

} // namespace carawaypond::backend

#pragma once

#include "backends/server/Fleet.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <variant>

namespace carawaypond::standins {

/// @brief Closes the server's listener and connections.
struct StopServer {};
/// @brief Restarts the server, cold.
struct StartServer {};
/// @brief Sends `X-Draining`, and refuses subrequests after the grace period.
struct DrainServer {
  Milliseconds Grace{5000};
};
struct EndDrain {};
/// @brief Publishes in the index object whether the server is leaving.
struct AnnounceLeaving {
  bool Leaving = true;
};

using ServerAction = std::variant<StopServer, StartServer, DrainServer,
                                  EndDrain, AnnounceLeaving>;

/// @brief Parses `"action"` and its parameters.
[[nodiscard]] Result<ServerAction>
parseServerAction(const nlohmann::json &Body);

/// @brief Performs @p Action on @p Server.
Result<void> perform(const ServerAction &Action, BackendServer &Server,
                     Fleet &Owner);

} // namespace carawaypond::standins

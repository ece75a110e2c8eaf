#pragma once

#include "backends/server/Fleet.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <variant>

namespace carawaypond::standins {

/// @brief The server is lost: its listener and connections close.
struct StopServer {};
/// @brief The server comes back, cold.
struct StartServer {};
/// @brief The server shows `X-Draining`, and refuses work after the grace.
struct DrainServer {
  Milliseconds Grace{5000};
};
struct EndDrain {};
/// @brief The index object says that the server leaves, or serves again.
struct AnnounceLeaving {
  bool Leaving = true;
};

using ServerAction = std::variant<StopServer, StartServer, DrainServer,
                                  EndDrain, AnnounceLeaving>;

/// @brief Reads `"action"` and what belongs to it.
[[nodiscard]] Result<ServerAction>
parseServerAction(const nlohmann::json &Body);

/// @brief Performs @p Action on @p Server.
Result<void> perform(const ServerAction &Action, BackendServer &Server,
                     Fleet &Owner);

} // namespace carawaypond::standins

#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief Who sends a subrequest to a replica.
enum class RoutePolicy {
  OwnerOfShard,   ///< One VM owns a shard's whole replica set.
  OwnerOfReplica, ///< One VM owns each replica.
  Direct,         ///< Every VM sends for itself.
};

/// @brief Addresses to listen on, as "ip:port"; port 0 lets the system pick.
struct ListenSettings {
  std::string Callers;
  std::string Operators;
  std::string Peers;
};

/// @brief The routing policy, so that each can be measured against the others.
struct PolicySettings {
  RoutePolicy Route = RoutePolicy::OwnerOfShard;
  bool Hedge = true;  ///< Hedge to another replica after a quantile.
  bool Budget = true; ///< Hold hedges and retries to the service's budget.
};

/// @brief Limits on the callers' listener.
struct CallerLimits {
  std::size_t Connections = 4096;
  std::size_t ConnectionsPerAddress = 4096;
  std::size_t BodyBytes = 1U << 20U;
  Milliseconds HeaderTimeout{5000};
  Milliseconds IdleTimeout{60000};
};

struct LogSettings {
  std::string Level = "info"; ///< "debug", "info", "warn" or "error".
  std::string File;           ///< Empty: standard error.
};

/// @brief Everything that a daemon is told when it starts.
struct Settings {
  VmName Vm;
  DataCentre Centre;
  ListenSettings Listen;
  std::string Platform; ///< "ip:port" of the Object API and the VM list.
  PolicySettings Policy;
  CallerLimits Callers;
  LogSettings Log;
  Milliseconds AddressLifetime{5000};
  /// Peer ports to ask for the other VMs while the VM list can't be read.
  std::vector<std::string> Seeds;
};

/// @brief Reads settings and checks them.
/// @return The settings, or InvalidInput naming the JSON path, the value and
/// what is allowed.
[[nodiscard]] Result<Settings> parseSettings(const nlohmann::json &Value);

/// @brief Reads settings from a file.
/// @param Path The file, in JSON.
/// @return The settings, NotFound when there is no such file, or InvalidInput.
[[nodiscard]] Result<Settings> loadSettings(const std::string &Path);

} // namespace carawaypond::daemon

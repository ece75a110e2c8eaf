#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief Which VM sends a subrequest to a replica.
enum class RoutePolicy {
  OwnerOfShard,   ///< One VM owns a shard's whole replica set.
  OwnerOfReplica, ///< One VM owns each replica.
  Direct,         ///< Every VM sends its own subrequests.
};

/// @brief Addresses to listen on, as "ip:port". With port 0, the system chooses
/// the port.
struct ListenSettings {
  std::string Callers;
  std::string Operators;
  std::string Peers;
};

/// @brief The routing policy. Configurable, so that the policies can be
/// compared by measurement.
struct PolicySettings {
  RoutePolicy Route = RoutePolicy::OwnerOfShard;
  bool Hedge = true;  ///< Hedge to another replica after a latency quantile.
  bool Budget = true; ///< Limit hedges and retries to the service's budget.
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

/// @brief The settings of a daemon, read once when it starts.
struct Settings {
  VmName Vm;
  DataCentre Centre;
  ListenSettings Listen;
  std::string Platform; ///< "ip:port" of the Object API and the VM list.
  PolicySettings Policy;
  CallerLimits Callers;
  LogSettings Log;
  Milliseconds AddressLifetime{5000};
  /// Peer addresses contacted to find other VMs while this VM knows of none,
  /// for example because the VM list can't be read.
  std::vector<std::string> Seeds;
};

/// @brief Parses and validates settings.
/// @return The settings, or InvalidInput with the JSON path, the value and the
/// allowed values.
[[nodiscard]] Result<Settings> parseSettings(const nlohmann::json &Value);

/// @brief Reads settings from a file.
/// @param Path The file, in JSON.
/// @return The settings, NotFound if the file can't be read, or InvalidInput.
[[nodiscard]] Result<Settings> loadSettings(const std::string &Path);

} // namespace carawaypond::daemon

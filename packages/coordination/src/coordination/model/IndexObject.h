#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief A backend server as described by the platform.
struct ServerInfo {
  ServerName Name;
  std::string Address; ///< "ip:port".
  DataCentre Centre;
  std::uint32_t Slots = 1;       ///< Subrequests that it runs concurrently.
  std::uint32_t Connections = 1; ///< Connections that it accepts in total.
  bool Leaving = false;

  friend bool operator==(const ServerInfo &, const ServerInfo &) = default;
};

/// @brief A shard and the backend servers that hold it.
struct ShardReplicas {
  ShardId Shard;
  std::vector<ServerName> Replicas;

  friend bool operator==(const ShardReplicas &,
                         const ShardReplicas &) = default;
};

/// @brief The shards of a range of consecutive index versions.
struct IndexLayout {
  std::uint64_t Layout = 0;
  IndexVersion FromVersion; ///< Valid until the next layout's FromVersion.
  std::vector<ShardReplicas> Shards;

  friend bool operator==(const IndexLayout &, const IndexLayout &) = default;
};

/// @brief An index: its servers, and its layouts in ascending order.
struct IndexObject {
  std::string Name;
  std::uint64_t ObjectVersion = 0; ///< Version in the Object API.
  std::vector<ServerInfo> Servers;
  std::vector<IndexLayout> Layouts;

  /// @return The server's description, or nullptr.
  [[nodiscard]] const ServerInfo *findServer(const ServerName &Name) const;
  /// @return The layout with that number, or nullptr.
  [[nodiscard]] const IndexLayout *findLayout(std::uint64_t Layout) const;

  friend bool operator==(const IndexObject &, const IndexObject &) = default;
};

/// @brief Versions that a replica serves under one layout, inclusive.
struct VersionRange {
  std::uint64_t Layout = 0;
  IndexVersion Oldest;
  IndexVersion Newest;

  friend bool operator==(const VersionRange &, const VersionRange &) = default;
};

/// @brief The versions that a replica last reported to serve.
struct ReplicaVersions {
  ServerName Server;
  ShardId Shard;
  std::vector<VersionRange> Ranges;

  friend bool operator==(const ReplicaVersions &,
                         const ReplicaVersions &) = default;
};

/// @brief Reads the value of an object of kind "index".
/// @return The index, or Malformed with a description of the fault.
[[nodiscard]] Result<IndexObject> parseIndexObject(const nlohmann::json &Value,
                                                   std::uint64_t ObjectVersion);

/// @brief Writes @p Index in the format of parseIndexObject().
[[nodiscard]] nlohmann::json toJson(const IndexObject &Index);

} // namespace carawaypond

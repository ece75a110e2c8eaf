#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace carawaypond::peer {

/// @brief One attempt to query one shard, sent by the query's coordinator to
/// the VM that owns a replica.
struct PeerSubrequest {
  SubrequestId Id{}; ///< Unique within the sender's incarnation.
  QueryId Query{};
  ServiceName Service{};
  ClassName Class{};
  ShardId Shard{};
  IndexVersion Version{};
  std::uint64_t Layout = 0;
  WallMillis Deadline{};
  bool Repeatable = true;
  /// JSON text of the request; never null. Subrequests of a batch that share
  /// the pointer are encoded with a single copy of the text.
  std::shared_ptr<const std::string> Request{};
  std::optional<ServerName> Server{}; ///< Unset: the owner chooses the replica.
};

} // namespace carawaypond::peer

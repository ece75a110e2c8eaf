#pragma once

#include "coordination/model/IndexObject.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace carawaypond {

/// @brief Whether a backend server may get new work.
enum class ServerState {
  Up,
  Leaving, ///< Completes its current work; gets no new work.
  Down,    ///< Not reachable.
};

/// @brief Whether a replica is known to serve a version.
enum class Serves { Unknown, Yes, No };

/// @brief Tracks the versions that each replica of one index serves, from
/// statuses, answers and refusals.
///
/// Within a layout, a status or an answer never moves either end of a range
/// back, because it may be older than the known range. Only a refusal replaces
/// the range, because it states the replica's current range.
class ReplicaVersionTracker {
public:
  [[nodiscard]] Serves serves(const ServerName &Server, ShardId Shard,
                              std::uint64_t Layout, IndexVersion Version) const;
  /// @return The replica's range under @p Layout, or nullptr.
  [[nodiscard]] const VersionRange *
  rangeOf(const ServerName &Server, ShardId Shard, std::uint64_t Layout) const;
  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return A number that increases with each change.
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }

  /// @brief Applies a replica's status. Ranges of layouts that the status
  /// doesn't list are dropped unless they were updated after @p ObservedAt.
  /// @param ObservedAt When the status was requested.
  void noteStatus(const ReplicaVersions &Status, TimePoint ObservedAt);
  /// @brief Merges the range in an answer.
  void noteAnswer(const ServerName &Server, ShardId Shard,
                  const VersionRange &Range, TimePoint Now);
  /// @brief Replaces the range by the one in a refusal of a version.
  void noteRefusal(const ServerName &Server, ShardId Shard,
                   const VersionRange &Range, TimePoint Now);
  void setState(const ServerName &Server, ServerState State);

private:
  struct Heard {
    VersionRange Range;
    TimePoint At;
  };
  using Replica = std::pair<ServerName, ShardId>;

  Heard *find(const Replica &Key, std::uint64_t Layout);
  void merge(const Replica &Key, const VersionRange &Range, TimePoint At);
  void set(const Replica &Key, const VersionRange &Range, TimePoint At);

  std::map<Replica, std::vector<Heard>> m_Replicas;
  std::unordered_map<ServerName, ServerState> m_States;
  std::uint64_t m_Revision = 0;
};

} // namespace carawaypond

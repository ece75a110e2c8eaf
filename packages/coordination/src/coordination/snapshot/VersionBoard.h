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
  Leaving, ///< Finishes what it has; gets no new work.
  Down,    ///< Not reachable.
};

/// @brief Whether a replica serves a version, as far as is known.
enum class Serves { Unknown, Yes, No };

/// @brief What each replica of one index is known to serve, learned from
/// status, answers and refusals.
///
/// Versions only advance: within a layout neither end of a range moves back by
/// a status or an answer, which may be older than what is known. Only a
/// refusal, in which the replica itself speaks about now, sets a range anew.
class VersionBoard {
public:
  [[nodiscard]] Serves serves(const ServerName &Server, ShardId Shard,
                              std::uint64_t Layout, IndexVersion Version) const;
  /// @return What the replica serves under @p Layout, or nullptr.
  [[nodiscard]] const VersionRange *
  rangeOf(const ServerName &Server, ShardId Shard, std::uint64_t Layout) const;
  [[nodiscard]] ServerState stateOf(const ServerName &Server) const;
  /// @return A number that grows with each change.
  [[nodiscard]] std::uint64_t revision() const { return m_Revision; }

  /// @brief Takes a replica's status. Layouts that it no longer lists are
  /// forgotten unless they were heard of after @p ObservedAt.
  /// @param ObservedAt When the status was asked for.
  void noteStatus(const ReplicaVersions &Status, TimePoint ObservedAt);
  /// @brief Takes the range that came with an answer.
  void noteAnswer(const ServerName &Server, ShardId Shard,
                  const VersionRange &Range, TimePoint Now);
  /// @brief Takes the range that came with a refusal of a version.
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

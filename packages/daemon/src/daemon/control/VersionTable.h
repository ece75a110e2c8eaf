#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace carawaypond::daemon {

/// @brief What replicas were found to serve, by this VM or another one; tells
/// changes on, so that each VM hears what only one asked for.
class VersionTable {
public:
  /// @brief Takes rows, and keeps those that are newer.
  /// @return The rows that were.
  std::vector<ServiceReplicaVersions>
  take(const std::vector<ServiceReplicaVersions> &Rows, TimePoint Now);

  /// @brief Adds rows to a digest: what changed of late, and a part that
  /// rotates through all.
  void fill(Digest &Out, TimePoint Now);

private:
  using Key = std::tuple<ServiceName, ShardId, ServerName>;
  struct Row {
    std::vector<VersionRange> Ranges;
    TimePoint ChangedAt;
  };

  void forgetOldChanges(TimePoint Now);

  std::map<Key, Row> m_Rows;
  std::set<std::pair<TimePoint, Key>> m_Changes; ///< Of late, oldest first.
  Key m_Cursor;
};

} // namespace carawaypond::daemon

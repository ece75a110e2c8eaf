#pragma once

#include "coordination/membership/Digest.h"
#include "core/time/Time.h"

#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace carawaypond::daemon {

/// @brief The index versions that replicas serve, as polled by this VM or
/// another one. Changes are passed on in digests, so that every VM learns the
/// versions of replicas that only one VM polls.
class VersionTable {
public:
  /// @brief Merges rows; only those newer than the known ones are kept.
  /// @return The rows that were newer.
  std::vector<ServiceReplicaVersions>
  take(const std::vector<ServiceReplicaVersions> &Rows, TimePoint Now);

  /// @brief Adds rows to a digest: the recent changes, and a window that
  /// rotates through all rows.
  void fill(Digest &Out, TimePoint Now);

private:
  using Key = std::tuple<ServiceName, ShardId, ServerName>;
  struct Row {
    std::vector<VersionRange> Ranges;
    TimePoint ChangedAt;
  };

  void expireOldChanges(TimePoint Now);

  std::map<Key, Row> m_Rows;
  std::set<std::pair<TimePoint, Key>> m_Changes; ///< Recent, oldest first.
  Key m_Cursor;
};

} // namespace carawaypond::daemon

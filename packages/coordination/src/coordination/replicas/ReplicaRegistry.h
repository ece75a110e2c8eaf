#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "core/time/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief How long entries that are missing from the store stay in use.
struct ReplicaRegistryOptions {
  /// How long after the store's recovery the entry of a live replica may still
  /// be missing.
  Milliseconds RecoveryGrace{2'600};
  /// Shortest store outage during which an entry can expire.
  Milliseconds MinOutage{2'400};
};

/// @brief Tracks the replicas to use, from their entries in the store.
///
/// During an outage of the store, entries expire because the replicas cannot
/// renew them. Therefore an entry that goes missing around an outage stays in
/// use until RecoveryGrace after the store's recovery. The length of an outage
/// is the time between two successive answers of the store to this VM or to the
/// VM that it follows. A VM's own failed calls are no evidence of an outage.
class ReplicaRegistry {
public:
  using Entries = std::map<ServerName, ReplicaRecord>;

  explicit ReplicaRegistry(ReplicaRegistryOptions Options)
      : m_Options(Options) {}

  /// @return Replicas that may get requests, and replicas that are leaving.
  [[nodiscard]] const Entries &entries() const { return m_Entries; }
  /// @return Entries that went missing around an outage, with the time until
  /// which each stays in use.
  [[nodiscard]] const std::map<ServerName, TimePoint> &missing() const {
    return m_Missing;
  }
  /// @return When expire() next has an entry to drop, or nullopt.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

  /// @brief Adds or updates one entry.
  /// @return Whether anything that affects placement changed.
  bool put(ReplicaRecord Record);
  /// @brief Removes an entry, or keeps it for a while around an outage.
  /// @return Whether the entry was removed.
  bool remove(const ServerName &Id, TimePoint Now);
  /// @brief Replaces all entries by those of a complete list.
  /// @return Whether anything that affects placement changed.
  bool replaceAll(std::vector<ReplicaRecord> Listed, TimePoint Now);
  /// @brief Applies the changes of the VM that this VM follows, without keeping
  /// removed entries.
  /// @param Gone Entries that it no longer uses.
  /// @return Whether anything that affects placement changed.
  bool adopt(std::vector<ReplicaRecord> Put,
             const std::vector<ServerName> &Gone);
  /// @brief Replaces all entries by those that the followed VM uses.
  bool adoptAll(std::vector<ReplicaRecord> Used);
  /// @brief Records that the store answered this VM, or the VM that it follows,
  /// at @p At.
  void onStoreAnswered(TimePoint At);
  /// @brief Drops missing entries whose grace period has passed.
  bool expire(TimePoint Now);

private:
  /// @return Whether the store has been out for long enough that entries may
  /// have expired.
  [[nodiscard]] bool isStoreOut(TimePoint Now) const;
  /// @return Whether the store is out, or recovered less than RecoveryGrace
  /// ago.
  [[nodiscard]] bool isRecovering(TimePoint Now) const;
  /// @return Entries that are not in @p Listed.
  [[nodiscard]] std::vector<ServerName>
  missingFrom(const std::vector<ReplicaRecord> &Listed) const;

  ReplicaRegistryOptions m_Options;
  Entries m_Entries;
  std::map<ServerName, TimePoint> m_Missing; ///< End of each one's use.
  std::optional<TimePoint> m_AnsweredAt;     ///< When the store last answered.
  TimePoint m_RecoveryUntil = TimePoint::min();
};

} // namespace carawaypond

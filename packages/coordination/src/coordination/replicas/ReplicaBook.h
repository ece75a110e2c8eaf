#pragma once

#include "coordination/replicas/ReplicaRecord.h"
#include "core/time/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief How long missing entries are still believed.
struct ReplicaBookOptions {
  /// How long after the store's return an entry may still be missing although
  /// its replica lives.
  Milliseconds ReturnAllowance{2'600};
  /// How long the store must be away before an entry can lapse.
  Milliseconds LapseTime{2'400};
};

/// @brief Which replicas to use, from the entries that the store holds.
///
/// Answers outages of the store: entries lapse while replicas cannot renew
/// them, so an entry that went missing around an outage is believed until
/// the allowance after the store's return has passed. What counts as an outage
/// is the time between two moments at which the store is known to have answered
/// anyone: this VM, or the VM that it follows. A VM's own failed calls prove
/// nothing about the store.
class ReplicaBook {
public:
  using Entries = std::map<ServerName, ReplicaRecord>;

  explicit ReplicaBook(ReplicaBookOptions Options) : m_Options(Options) {}

  /// @return Replicas that may get requests, and those that are leaving.
  [[nodiscard]] const Entries &entries() const { return m_Entries; }
  /// @return Entries that went around an outage, and until when each is
  /// believed.
  [[nodiscard]] const std::map<ServerName, TimePoint> &missing() const {
    return m_Missing;
  }
  /// @return When expire() next has something to do, if ever.
  [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

  /// @brief Takes one entry as it now is.
  /// @return Whether anything that matters to placement changed.
  bool put(ReplicaRecord Record);
  /// @brief Takes the removal of an entry.
  bool remove(const ServerName &Id, TimePoint Now);
  /// @brief Takes the list of all entries.
  bool replaceAll(std::vector<ReplicaRecord> Listed, TimePoint Now);
  /// @brief Takes what another VM decided, without doubts of this VM's own.
  /// @param Gone Entries that it no longer uses.
  /// @return Whether anything that matters to placement changed.
  bool adopt(std::vector<ReplicaRecord> Put,
             const std::vector<ServerName> &Gone);
  /// @brief Takes all entries that another VM uses.
  bool adoptAll(std::vector<ReplicaRecord> Used);
  /// @brief The store answered at @p At, this VM or one that it follows.
  void onStoreAnswered(TimePoint At);
  /// @brief Drops entries whose allowance has passed.
  bool expire(TimePoint Now);

private:
  /// @return Whether entries may have lapsed since the store last answered.
  [[nodiscard]] bool isStoreAway(TimePoint Now) const;
  [[nodiscard]] bool isDoubted(TimePoint Now) const;
  /// @return Entries that @p Listed lacks.
  [[nodiscard]] std::vector<ServerName>
  absentFrom(const std::vector<ReplicaRecord> &Listed) const;

  ReplicaBookOptions m_Options;
  Entries m_Entries;
  std::map<ServerName, TimePoint> m_Missing; ///< Until when still believed.
  std::optional<TimePoint> m_AnsweredAt;     ///< When the store last answered.
  TimePoint m_DoubtedUntil = TimePoint::min();
};

} // namespace carawaypond

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
};

/// @brief Which replicas to use, from the entries that the store holds.
///
/// Answers outages of the store: entries lapse while replicas cannot renew
/// them, so an entry that went missing around an outage is believed until
/// the allowance after the store's return has passed.
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
  /// @brief Takes a failed call to the store.
  void onStoreLost();
  /// @brief Takes a successful call to the store.
  void onStoreAnswered(TimePoint Now);
  /// @brief Drops entries whose allowance has passed.
  bool expire(TimePoint Now);

private:
  [[nodiscard]] bool isDoubted(TimePoint Now) const;
  /// @return Entries that @p Listed lacks.
  [[nodiscard]] std::vector<ServerName>
  absentFrom(const std::vector<ReplicaRecord> &Listed) const;

  ReplicaBookOptions m_Options;
  Entries m_Entries;
  std::map<ServerName, TimePoint> m_Missing; ///< Until when still believed.
  bool m_IsStoreLost = false;
  std::optional<TimePoint> m_StoreReturnedAt;
};

} // namespace carawaypond

#pragma once

#include "coordination/evacuation/EvacuationChange.h"
#include "coordination/evacuation/EvacuationList.h"
#include "core/id/Ids.h"

#include <map>
#include <set>
#include <vector>

namespace carawaypond {

/// @brief Tracks which data centres are evacuated.
///
/// Handles reports of the store and of other VMs that arrive late, repeatedly
/// or in another order. Within an era the store's history is linear, and a
/// later era follows it, so evidence of a greater revision wins, whichever VM
/// read it. Each report only raises revisions, so merging is commutative,
/// associative and idempotent.
///
/// Evacuations do not expire: during an outage of the store, or on a VM that is
/// partitioned off, the last known ones stay in force. So do those that a store
/// lacks which came back from an older copy, until settle(): the operator
/// writes them again.
class EvacuationRegistry {
public:
  /// @return The data centres whose replicas get no requests.
  [[nodiscard]] std::set<DataCentre> evacuated() const;
  /// @return All evacuations, for other VMs.
  [[nodiscard]] EvacuationList list() const;
  /// @return The revision as of which list() is complete.
  [[nodiscard]] StoreRevision asOf() const { return m_AsOf; }

  /// @brief Applies an object that the store holds.
  void put(const EvacuatedCentre &Stored);
  /// @brief Applies the removal of an object. The revision may still be that of
  /// the object's last change.
  void remove(const EvacuatedCentre &Removed);
  /// @brief Merges a list that this or another VM read.
  void merge(const EvacuationList &List);
  /// @brief Records that all changes up to @p Revision have been applied.
  void advance(StoreRevision Revision);
  /// @brief Ends the evacuations that the store has lacked since it came back
  /// from a copy.
  void settle();
  /// @return What changed since the last call.
  std::vector<EvacuationChange> takeChanges();

private:
  /// @brief The greatest revisions of the evidence about one data centre.
  struct Evidence {
    StoreRevision Written;     ///< Of the object's last change.
    StoreRevision PresentAsOf; ///< A report showed the object.
    StoreRevision RemovedAt;   ///< The store reported its removal.
    StoreRevision AbsentAsOf;  ///< A whole list lacked it.

    /// @return Whether the store holds the object. A removal may bear the
    /// revision of the object that it removes.
    [[nodiscard]] bool isPresent() const {
      return Written > RemovedAt && PresentAsOf > AbsentAsOf;
    }
  };

  /// @return The evidence about @p Centre, which all lists up to m_AsOf lacked
  /// if it is new.
  Evidence &evidence(const DataCentre &Centre);
  void setAbsent(const DataCentre &Centre, Evidence &Known, StoreRevision AsOf);
  void putAsOf(const EvacuatedCentre &Stored, StoreRevision AsOf);
  void note(const DataCentre &Centre, bool WasPresent, const Evidence &Now,
            StoreRevision Revision);
  /// @brief Drops evidence that m_AsOf supersedes, which bounds memory.
  void prune();

  std::map<DataCentre, Evidence> m_Centres;
  /// Evacuated ones that the first list of the era lacked.
  std::set<DataCentre> m_Held;
  StoreRevision m_AsOf;
  std::vector<EvacuationChange> m_Changes;
};

} // namespace carawaypond

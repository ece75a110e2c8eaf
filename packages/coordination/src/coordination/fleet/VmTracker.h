#pragma once

#include "coordination/budget/VmTurn.h"
#include "coordination/fleet/VmLoad.h"
#include "coordination/membership/VmRecord.h"
#include "core/time/Time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace carawaypond {

struct VmTrackerOptions {
  Milliseconds SilenceLimit{2'200}; ///< After it a VM counts as gone.
  Milliseconds ForgetAfter{60'000}; ///< Silence after which it is dropped.
  /// Silence after which callers are not sent to it, even if this VM seems to
  /// be partitioned off.
  Milliseconds ListLimit{8'000};
};

/// @brief Tracks which VMs are up, from their heartbeats and from the records
/// in the store.
///
/// An incarnation is dated by a clock that may jump back between two starts, so
/// a lower one may be the later start. Of two starts that the store names, the
/// one of the greater revision is the later. Heartbeats bear no revision and
/// may arrive late: one of a lower or of a replaced incarnation counts only
/// once the known incarnation has been silent for SilenceLimit.
///
/// If most of the other VMs fall silent at once, this VM assumes that it is
/// itself partitioned off, and keeps advertising them to callers until
/// ListLimit. The records in the store remain when VMs are gone, so a VM that
/// was never heard is not advertised.
class VmTracker {
public:
  VmTracker(VmName Self, VmTrackerOptions Options)
      : m_Self(std::move(Self)), m_Options(Options) {}

  /// @return The other VMs that callers may use.
  [[nodiscard]] std::vector<LoadedVm> usable(TimePoint Now) const;
  /// @return The other VMs that were heard within SilenceLimit.
  [[nodiscard]] std::vector<LoadedVm> heard(TimePoint Now) const;
  /// @return The VMs with the highest capacity outside @p Own that were heard
  /// within SilenceLimit, a few of each data centre, to relay to VMs that don't
  /// receive their heartbeats.
  [[nodiscard]] std::vector<LoadedVm> far(const DataCentre &Own,
                                          TimePoint Now) const;
  /// @return This VM's share of the budgets and connections that all VMs have
  /// in common, from 0 to 1. It follows the load. The shares of all VMs add up
  /// to 1 if the VMs hold the same records.
  [[nodiscard]] double share(const VmLoad &Own, TimePoint Now) const;
  /// @return This VM's position, by name, among the VMs that have a share.
  [[nodiscard]] VmTurn turn(TimePoint Now) const;
  /// @return All other VMs that are not known to have left.
  [[nodiscard]] std::vector<VmRecord> known() const;

  /// @brief Handles a heartbeat, or one that another VM relays.
  /// @return Whether the VM or its incarnation is new.
  bool onHeartbeat(const LoadedVm &Vm, TimePoint Now);
  /// @brief Adds a VM record that was learnt from elsewhere than a heartbeat.
  /// @param Revision Of the record in the store; 0 if another VM passed it on.
  void onRecord(const VmRecord &Record, StoreRevision Revision, TimePoint Now);
  /// @brief Drops VMs that were silent for longer than ForgetAfter.
  void expire(TimePoint Now);

private:
  struct Entry {
    LoadedVm Vm;
    TimePoint HeardAt;    ///< Last heartbeat, or set as silent by onRecord().
    bool WasHeard = true; ///< Whether it ever sent a heartbeat.
    TimePoint KnownSince; ///< When this incarnation replaced another one.
    /// Of the store's record of this incarnation; 0 if it was not seen.
    StoreRevision Revision;
    std::vector<Incarnation> Replaced; ///< Earlier ones, latest last.

    [[nodiscard]] bool hasReplaced(Incarnation Which) const;
  };

  /// @return Whether callers may be sent to it if this VM seems to be
  /// partitioned off.
  [[nodiscard]] bool isListable(const Entry &Of, TimePoint Now) const;
  [[nodiscard]] bool isSilent(const Entry &Of, TimePoint Now) const;
  /// @return Whether a heartbeat of @p Other shows a later start.
  [[nodiscard]] bool isLaterStart(const Entry &Known, Incarnation Other,
                                  TimePoint Now) const;
  /// @return Whether a record of @p Other, with @p Revision in the store, shows
  /// a later start.
  [[nodiscard]] bool isLaterRecord(const Entry &Known, Incarnation Other,
                                   StoreRevision Revision, TimePoint Now) const;
  static void replace(Entry &Known, LoadedVm Later, TimePoint Now);

  VmName m_Self;
  VmTrackerOptions m_Options;
  std::map<VmName, Entry> m_Entries;
};

} // namespace carawaypond

#pragma once

#include "coordination/fleet/VmLoad.h"
#include "coordination/membership/VmRecord.h"
#include "core/time/Time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace carawaypond {

struct VmBoardOptions {
  Milliseconds SilenceLimit{2'200}; ///< After which a VM counts as gone.
  Milliseconds ForgetAfter{60'000}; ///< After which its record is dropped.
};

/// @brief Which of the system's VMs are up, from their own heartbeats and from
/// the records in the store.
///
/// Answers partitions too: a VM that stopped hearing most of the others takes
/// itself for the one that is cut off, and goes on naming them.
class VmBoard {
public:
  VmBoard(VmName Self, VmBoardOptions Options)
      : m_Self(std::move(Self)), m_Options(Options) {}

  /// @return The VMs besides this one that callers may use.
  [[nodiscard]] std::vector<LoadedVm> usable(TimePoint Now) const;
  /// @return The VMs besides this one that were heard of just now.
  [[nodiscard]] std::vector<LoadedVm> heard(TimePoint Now) const;
  /// @return The strongest VMs outside @p Own that were heard of just now, a
  /// few of each data centre, for VMs that don't hear them.
  [[nodiscard]] std::vector<LoadedVm> far(const DataCentre &Own,
                                          TimePoint Now) const;
  /// @return This VM's part of what all VMs share: budgets and connections. It
  /// follows the load, and the parts of all VMs add up to 1 if they agree.
  [[nodiscard]] double share(const VmLoad &Own, TimePoint Now) const;
  /// @return All VMs besides this one that are not known to have left.
  [[nodiscard]] std::vector<VmRecord> known() const;

  /// @brief Takes a heartbeat.
  /// @return Whether the VM, or this incarnation of it, was not known.
  bool onBeat(const LoadedVm &Vm, TimePoint Now);
  /// @brief Takes a record that somebody else holds.
  void onRecord(const VmRecord &Record, TimePoint Now);
  /// @brief Drops records of VMs that are silent for long.
  void expire(TimePoint Now);

private:
  struct Entry {
    LoadedVm Vm;
    TimePoint HeardAt; ///< Or learnt of.
  };

  [[nodiscard]] bool isSilent(const Entry &Of, TimePoint Now) const;

  VmName m_Self;
  VmBoardOptions m_Options;
  std::map<VmName, Entry> m_Entries;
};

} // namespace carawaypond

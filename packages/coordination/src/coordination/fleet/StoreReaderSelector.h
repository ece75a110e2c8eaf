#pragma once

#include "coordination/fleet/VmLoad.h"
#include "core/time/Time.h"

#include <optional>
#include <vector>

namespace carawaypond {

struct StoreReaderSelectorOptions {
  /// How long a starting VM waits for heartbeats before it reads the store.
  Milliseconds StartupWait{500};
  /// How long a VM reads the store itself after its reader failed.
  Milliseconds ReaderRetryDelay{4'000};
  /// Whether a VM that the store turns away follows any other VM that reaches
  /// it, instead of continuing to call the store.
  bool FollowsOthersIfLost = false;
};

/// @brief Decides whether this VM reads the store itself or follows another VM
/// that does, so that the calls to the store grow with the number of data
/// centres and not with the number of VMs.
///
/// Each data centre has one reader: the first by name of its VMs that reach the
/// store. A VM whose reader fails reads the store itself at once. A store that
/// turns some VMs away may leave such a VM without knowledge while others have
/// it: see FollowsOthersIfLost.
class StoreReaderSelector {
public:
  StoreReaderSelector(StoreReaderSelectorOptions Options, TimePoint Now)
      : m_Options(Options), m_StartedAt(Now) {}

  /// @param HasLostStore Whether this VM's latest call to the store failed.
  /// @return The VM to follow, or nullopt if this VM must read the store
  /// itself.
  [[nodiscard]] std::optional<VmRecord>
  reader(const LoadedVm &Self, const std::vector<LoadedVm> &Heard,
         TimePoint Now, bool HasLostStore = false) const;
  /// @return Whether this VM is still waiting for heartbeats after its start
  /// and must not read the store yet.
  [[nodiscard]] bool isTooEarly(const std::vector<LoadedVm> &Heard,
                                TimePoint Now) const;

  /// @brief Records that @p Reader did not answer or lost the store.
  void onReaderFailed(const VmName &Reader, TimePoint Now);

private:
  /// @return The first VM by name that reaches the store and has not failed, of
  /// this data centre if there is one.
  [[nodiscard]] std::optional<VmRecord>
  otherReader(const LoadedVm &Self, const std::vector<LoadedVm> &Heard) const;

  StoreReaderSelectorOptions m_Options;
  TimePoint m_StartedAt;
  std::optional<TimePoint> m_FailedAt;
  VmName m_FailedReader;
};

} // namespace carawaypond

#pragma once

#include "coordination/fleet/VmLoad.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstddef>
#include <map>
#include <vector>

namespace carawaypond {

/// @brief A VM's record as the store lists it.
struct StoredVmRecord {
  VmName Name;
  StoreRevision Revision;
};

struct VmRecordCleanerOptions {
  /// How long a VM must be silent before its record is removed. Longer than an
  /// outage or a restart of a VM usually takes.
  Milliseconds Retention{600'000};
  /// Records removed after one listing, as each removal is a priced call.
  std::size_t MaxRemovals = 8;
};

/// @brief Decides which records of VMs that are gone are removed from the
/// store. Without it, they accumulate for as long as VMs get new names.
///
/// Of the VMs that hear each other, only the first by name removes records: a
/// record that no heartbeat and no new revision has confirmed for Retention.
/// The removal is for that revision only, so a VM that came back and wrote its
/// record keeps it.
class VmRecordCleaner {
public:
  VmRecordCleaner(VmName Self, VmRecordCleanerOptions Options)
      : m_Self(std::move(Self)), m_Options(Options) {}

  /// @brief Handles a whole list of the records.
  /// @param Heard The other VMs whose heartbeats arrive.
  /// @return The records to remove now, the longest silent first.
  [[nodiscard]] std::vector<StoredVmRecord>
  onListed(const std::vector<StoredVmRecord> &Records,
           const std::vector<LoadedVm> &Heard, TimePoint Now);

private:
  struct Silence {
    StoreRevision Revision;
    TimePoint Since;
  };

  [[nodiscard]] bool isFirst(const std::vector<LoadedVm> &Heard) const;
  /// @brief Updates m_Silent.
  void record(const std::vector<StoredVmRecord> &Records,
              const std::vector<LoadedVm> &Heard, TimePoint Now);

  VmName m_Self;
  VmRecordCleanerOptions m_Options;
  std::map<VmName, Silence> m_Silent; ///< Since which listing, of those listed.
};

} // namespace carawaypond

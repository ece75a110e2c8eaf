#pragma once

#include "coordination/membership/VmRecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief The newest record of each VM. Records are ordered by (life, counter,
/// state), so that all VMs converge to the same records in whatever order they
/// receive them, and a later heartbeat overrides a suspicion.
class VmTable {
public:
  using Records = std::map<VmName, VmRecord>;

  explicit VmTable(std::size_t MaxVms) : m_MaxVms(MaxVms) {}

  [[nodiscard]] const Records &records() const { return m_Records; }
  /// @return The record, or nullptr.
  [[nodiscard]] const VmRecord *find(const VmName &Name) const;
  /// @return Whether @p Other is newer than @p Known.
  [[nodiscard]] static bool supersedes(const VmRecord &Other,
                                       const VmRecord &Known);

  /// @brief What merge() did.
  enum class Change {
    None,    ///< The record was not newer.
    Counter, ///< Only the heartbeat counter increased.
    Notable, ///< A new VM, life, state or address.
  };
  Change merge(const VmRecord &Record);
  /// @brief Sets a state that this VM determined by its own timeouts.
  /// @pre The VM is known, and @p State is worse than its current state.
  void worsenState(const VmName &Name, VmState State);
  void erase(const VmName &Name) { m_Records.erase(Name); }
  /// @return Up to @p Count records, continuing cyclically after those of the
  /// last call.
  std::vector<VmRecord> rotate(std::size_t Count);

private:
  std::size_t m_MaxVms;
  Records m_Records;
  VmName m_Cursor;
};

} // namespace carawaypond

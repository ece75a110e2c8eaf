#pragma once

#include "coordination/membership/VmRecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief The newest record of each VM. Records merge by (life, counter,
/// state), so that all VMs end with the same ones in whatever order they hear
/// them, and any later heartbeat overrules a suspicion.
class VmTable {
public:
  using Records = std::map<VmName, VmRecord>;

  explicit VmTable(std::size_t MaxVms) : m_MaxVms(MaxVms) {}

  [[nodiscard]] const Records &records() const { return m_Records; }
  /// @return The record, or nullptr.
  [[nodiscard]] const VmRecord *find(const VmName &Name) const;
  /// @brief Whether @p Other is newer knowledge than @p Known.
  [[nodiscard]] static bool supersedes(const VmRecord &Other,
                                       const VmRecord &Known);

  /// @brief What merge() did.
  enum class Change {
    None,    ///< Nothing newer.
    Counter, ///< A later heartbeat, and nothing else.
    Notable, ///< A new VM, life, state or address.
  };
  Change merge(const VmRecord &Record);
  /// @brief Sets the state that this VM itself concluded.
  /// @pre The VM is known.
  void conclude(const VmName &Name, VmState State);
  void erase(const VmName &Name) { m_Records.erase(Name); }
  /// @return Up to @p Count records after those of the last call, in a cycle.
  std::vector<VmRecord> rotate(std::size_t Count);

private:
  std::size_t m_MaxVms;
  Records m_Records;
  VmName m_Cursor;
};

} // namespace carawaypond

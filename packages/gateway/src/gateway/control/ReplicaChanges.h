#pragma once

#include "coordination/replicas/ReplicaRegistry.h"
#include "core/id/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace carawaypond::gateway {

/// @brief Bounded change log of the replica list, with sequence numbers, for
/// VMs that follow this one.
class ReplicaChanges {
public:
  /// @brief One change of one replica.
  struct Change {
    std::uint64_t Sequence = 0;
    ServerName Id;
    std::optional<KnownReplica> Replica; ///< What is known; empty if removed.
    StoreRevision RemovedAsOf;           ///< Set if it was removed.
  };

  /// @return The sequence number of the latest change; 0 before the first.
  [[nodiscard]] std::uint64_t sequence() const { return m_Sequence; }
  /// @return The last change of each replica that changed after @p Sequence, or
  /// std::nullopt if the log no longer holds all of them.
  [[nodiscard]] std::optional<std::vector<Change>>
  since(std::uint64_t Sequence) const;

  /// @brief Appends the differences between the last known list and @p Now.
  void follow(const ReplicaRegistry &Now);

private:
  static constexpr std::size_t MaxChanges = 4'096;

  void add(Change Added);

  ReplicaRegistry::Entries m_Known;
  std::deque<Change> m_Changelog;
  std::uint64_t m_Sequence = 0;
};

} // namespace carawaypond::gateway

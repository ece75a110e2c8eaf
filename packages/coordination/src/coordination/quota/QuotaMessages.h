#pragma once

#include "coordination/quota/AllocatorRecord.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypond {

/// @brief What a VM holds and needs of one workspace's quota.
struct QuotaUse {
  WorkspaceName Workspace;
  std::uint64_t Held = 0; ///< Unused tokens that it keeps.
  /// Unused tokens that it gives back, or that have expired.
  std::uint64_t Returned = 0;
  std::uint64_t Wanted = 0;  ///< Further tokens.
  std::uint64_t Waiting = 0; ///< Those of Wanted for which requests wait.
};

/// @brief Call of a VM to the allocator.
struct QuotaCall {
  VmName Vm;
  Incarnation IncarnationNumber;
  std::uint64_t Number = 0; ///< Greater for each call of this incarnation.
  /// Number of its latest call whose answer arrived; 0 for none.
  std::uint64_t Answered = 0;
  std::vector<QuotaUse> Uses;
};

/// @brief The tokens that the allocator grants of one workspace's quota.
struct QuotaGrant {
  WorkspaceName Workspace;
  std::uint64_t Tokens = 0;
  /// How long until there may be another token; set if fewer are granted
  /// than requests wait for, or if the workspace is not known.
  std::optional<Milliseconds> RetryAfter;
};

/// @brief The allocator's answer.
struct QuotaAnswer {
  /// Whether the sender allocates; if not, Grants is empty.
  bool IsAllocator = false;
  /// Whether the sender holds the lease, and waits until it may allocate.
  bool IsHolder = false;
  VmName Vm; ///< The sender.
  Incarnation IncarnationNumber;
  std::optional<AllocatorRecord> Known; ///< The newest allocator it knows.
  std::vector<QuotaGrant> Grants;
};

} // namespace carawaypond

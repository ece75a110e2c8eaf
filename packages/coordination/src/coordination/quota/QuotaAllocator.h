#pragma once

#include "coordination/quota/QuotaMessages.h"
#include "coordination/quota/QuotaOptions.h"
#include "coordination/workspaces/WorkspaceTable.h"
#include "core/time/BootClock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace carawaypond {

/// @brief Grants tokens of the workspaces' quotas to VMs.
///
/// Handles callers of one workspace that reach many VMs at once, and VMs that
/// are partitioned off, frozen or killed with tokens in hand. Each workspace
/// has a token bucket, which is charged as VMs report tokens as spent. What
/// they hold unused may exceed the bucket by the overdraft of QuotaOptions, so
/// that each VM can hold some in advance: the requests that run in a window are
/// at most rate * window + burst + overdraft. Tokens expire by themselves, and
/// those that a VM never reports count as spent.
///
/// A new allocator does not know what its predecessors have granted. Its
/// buckets start empty, and its overdraft grows over a window, so that any
/// series of allocators adds one overdraft at most.
class QuotaAllocator {
public:
  /// @param IsFirst Whether no VM can hold a token, as there was no allocator
  /// before.
  QuotaAllocator(QuotaOptions Options, bool IsFirst, BootTime Now)
      : m_Options(Options), m_StartedAt(Now), m_IsFirst(IsFirst),
        m_ForgottenAt(Now) {}

  /// @brief Applies the limits of a configuration version.
  void setLimits(const WorkspaceTable &Table, BootTime Now);
  /// @brief Grants tokens, after taking in what the VM has spent and holds.
  [[nodiscard]] QuotaAnswer handleCall(const QuotaCall &Call, BootTime Now);
  /// @return How many VMs are remembered by their latest call.
  [[nodiscard]] std::size_t rememberedVms() const {
    return m_LatestCalls.size();
  }

private:
  /// Tokens of one VM that it has not reported as spent.
  struct Holding {
    Incarnation IncarnationNumber;
    std::uint64_t Tokens = 0;
    /// Tokens of the latest grant, void if its answer did not arrive.
    std::uint64_t LatestGrant = 0;
    std::uint64_t LatestCall = 0;
    BootTime ExpiresAt;
  };
  struct Quota {
    Workspace Limits;
    double Tokens = 0; ///< Negative if more were spent than earned.
    BootTime UpdatedAt;
    std::map<VmName, Holding> Holdings;
    /// When the callers that were refused last may return.
    BootTime NextReturn;
    /// Since when the configuration has no such quota. Kept for some time, as a
    /// quota that is added again must not grant its burst twice in a window.
    std::optional<BootTime> RemovedAt;
  };
  /// The latest call of one VM.
  struct LatestCall {
    Incarnation IncarnationNumber;
    std::uint64_t Number = 0;
    BootTime ReceivedAt;
  };

  /// @return Whether the call is its VM's latest; if not, it is not recorded.
  [[nodiscard]] bool recordCall(const QuotaCall &Call, BootTime Now);
  /// @return How long a grant is remembered after the call that it answered.
  [[nodiscard]] Milliseconds holdingTime() const;
  /// @brief Forgets the VMs whose tokens have expired and can't be reported any
  /// more.
  void forgetSilentVms(BootTime Now);
  [[nodiscard]] double overdraft(const Quota &Of, BootTime Now) const;
  /// @return The tokens that may be granted now; negative if too many were.
  [[nodiscard]] double availableTokens(const Quota &Of, BootTime Now) const;
  /// @brief Erases the quotas that were removed long enough ago.
  void eraseRemoved(BootTime Now);
  static void refill(Quota &Into, BootTime Now);
  static void expireHoldings(Quota &Of, BootTime Now);
  static void chargeSpent(Quota &To, const QuotaCall &Call,
                          const QuotaUse &Use);
  [[nodiscard]] QuotaGrant grant(Quota &From, const QuotaCall &Call,
                                 const QuotaUse &Use, BootTime Now);
  [[nodiscard]] Milliseconds retryAfter(Quota &Of, std::uint64_t Missing,
                                        BootTime Now) const;

  QuotaOptions m_Options;
  BootTime m_StartedAt;
  bool m_IsFirst;
  std::unordered_map<WorkspaceName, Quota> m_Quotas;
  std::map<VmName, LatestCall> m_LatestCalls;
  BootTime m_ForgottenAt; ///< Latest forgetSilentVms().
};

} // namespace carawaypond

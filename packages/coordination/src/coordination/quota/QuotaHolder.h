#pragma once

#include "coordination/quota/QuotaMessages.h"
#include "coordination/quota/QuotaOptions.h"
#include "coordination/workspaces/WorkspaceTable.h"
#include "core/time/BootClock.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace carawaypond {

/// @brief Whether a request fits into its workspace's quota.
enum class QuotaDecision {
  Granted, ///< A token was spent on it.
  Waiting, ///< The allocator has to be asked.
  Refused, ///< The quota is used up.
  Unknown, ///< The workspace has no quota here, or no longer.
};

/// @brief A token that was spent on a request.
struct QuotaToken {
  WorkspaceName Workspace;
  BootTime ExpiresAt;
  std::uint64_t Calls = 0; ///< Calls to the allocator before it was spent.
};

struct QuotaHolderOptions {
  /// From the start of the call that brought the tokens.
  Milliseconds TokenLifetime = QuotaTokenLifetime;
  /// Time for which tokens are held in advance, at the recent rate. Bridges a
  /// change of the allocator for workspaces of few requests.
  Milliseconds Prefetch{1'000};
  /// Most tokens of a workspace that are held in advance.
  std::uint64_t MaxPrefetch = 16;
  /// How long tokens that were spent stay unreported if nothing is wanted. The
  /// allocator counts them as unused until then.
  Milliseconds ReportDelay{300};
  Milliseconds MinRetry = QuotaMinRetry;
  /// Maximum number of workspaces in one call, whose body is limited. Those
  /// with waiting requests come first.
  std::size_t MaxUsesPerCall = 500;
};

/// @brief Spends this VM's tokens of the workspaces' quotas, and decides when
/// to ask the allocator for more.
///
/// Handles bursts of one workspace's callers at this VM: tokens are requested
/// in advance at the recent rate, so that few requests wait for a call. While
/// the allocator has none, requests are refused without a call.
class QuotaHolder {
public:
  QuotaHolder(VmName Self, Incarnation IncarnationNumber,
              QuotaHolderOptions Options = {})
      : m_Self(std::move(Self)), m_Incarnation(IncarnationNumber),
        m_Options(Options) {}

  /// @brief Keeps state for the workspaces of @p Configured that have a quota,
  /// and for no other. Tokens of the others are dropped: the allocator counts
  /// them as held until they expire.
  void retain(const WorkspaceTable &Configured);

  /// @return How long until a request of the workspace may find a token.
  [[nodiscard]] Milliseconds retryAfter(const WorkspaceName &Of,
                                        BootTime Now) const;
  /// @return The unused tokens of the workspace.
  [[nodiscard]] std::uint64_t heldTokens(const WorkspaceName &Of,
                                         BootTime Now) const;

  /// @brief Spends a token on a request.
  /// @param IsNew Whether the request asks for the first time.
  [[nodiscard]] QuotaDecision spend(const WorkspaceName &Of, bool IsNew,
                                    BootTime Now);
  /// @return The token that spend() granted last.
  [[nodiscard]] const QuotaToken &spentToken() const { return m_Spent; }
  /// @brief Returns the token of a request that no replica has got. Does
  /// nothing once it was reported to the allocator as spent.
  void returnToken(const QuotaToken &Token, BootTime Now);
  /// @brief Counts a request that waits for the allocator.
  void beginWait(const WorkspaceName &Of);
  void endWait(const WorkspaceName &Of);

  /// @return The next call to the allocator, if one is due. None is due until
  /// it has ended.
  [[nodiscard]] std::optional<QuotaCall> nextCall(BootTime Now);
  /// @brief Takes in the answer to the latest call.
  void onAnswer(const QuotaAnswer &Answer, BootTime Now);
  /// @brief The latest call has failed, or reached a VM that does not allocate.
  void onCallFailed() { m_CalledAt.reset(); }

private:
  struct Batch {
    std::uint64_t Tokens = 0;
    BootTime ExpiresAt;
  };
  struct WorkspaceState {
    std::deque<Batch> Batches; ///< The first one expires first.
    std::uint64_t Waiting = 0; ///< Requests that wait for a token.
    std::uint64_t Expired = 0; ///< Unused, and not yet reported.
    bool HasUnreported = false;
    BootTime ReportedAt;
    /// Recent requests per second, at RateAt.
    double Rate = 0;
    BootTime RateAt;
    /// Time before which the allocator has no token.
    std::optional<BootTime> EmptyUntil;
  };

  static void expire(WorkspaceState &Of, BootTime Now);
  static void markUnreported(WorkspaceState &Of, BootTime Now);
  [[nodiscard]] static std::uint64_t countTokens(const WorkspaceState &Of,
                                                 BootTime Now);
  static void updateRate(WorkspaceState &Of, BootTime Now);
  [[nodiscard]] std::uint64_t prefetchTarget(const WorkspaceState &Of,
                                             BootTime Now) const;
  [[nodiscard]] std::optional<QuotaUse> reportIfDue(const WorkspaceName &Name,
                                                    WorkspaceState &Of,
                                                    BootTime Now) const;
  /// @param AreWaiting Whether to add the workspaces with or without waiting
  /// requests.
  void addUses(QuotaCall &To, bool AreWaiting, BootTime Now);
  /// @return How many of @p Count tokens were removed.
  static std::uint64_t removeTokens(WorkspaceState &From, std::uint64_t Count);

  VmName m_Self;
  Incarnation m_Incarnation;
  QuotaHolderOptions m_Options;
  std::unordered_map<WorkspaceName, WorkspaceState> m_Workspaces;
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Answered = 0; ///< Latest call whose answer arrived.
  QuotaToken m_Spent;
  std::optional<BootTime> m_CalledAt; ///< Start of the outstanding call.
};

} // namespace carawaypond

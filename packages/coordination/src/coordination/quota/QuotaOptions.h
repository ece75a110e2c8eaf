#pragma once

#include "coordination/workspaces/Workspace.h"
#include "core/time/Time.h"

namespace carawaypond {

/// How long a VM may use the tokens that it was granted. The bound on what VMs
/// hold rests on allocator and holders using the same time.
inline constexpr Milliseconds QuotaTokenLifetime{3'000};

/// Shortest time that a refused request is told to wait.
inline constexpr Milliseconds QuotaMinRetry{20};

/// @brief How far the requests of a workspace that run may exceed its quota.
///
/// In any Window, at most (rate * Window + burst) * (1 + Overage) + Slack, over
/// all VMs together.
struct QuotaOptions {
  Milliseconds Window{5'000};
  double Overage = 0.1;
  double Slack = 10;
  /// Share of the allowed excess that one allocator uses. Its successors
  /// together may use as much again, and the rest is a margin.
  double UsedShare = 0.4;
  /// Share of the overdraft that is granted to requests that wait only.
  double ReservedShare = 0.5;
  Milliseconds TokenLifetime = QuotaTokenLifetime;
  /// Time after the end of their lifetime in which a VM may still report that
  /// its tokens were not used.
  Milliseconds ReportTime{1'000};
  Milliseconds MinRetry = QuotaMinRetry;
  Milliseconds MaxRetry{10'000};
  /// Told for a workspace that the allocator does not know: its VM may have a
  /// newer configuration.
  Milliseconds UnknownWorkspaceRetry{200};

  /// @return How many tokens may be granted beyond those that a workspace has
  /// earned.
  [[nodiscard]] double overdraft(const Workspace &Of) const {
    double Seconds = std::chrono::duration<double>(Window).count();
    double Allowed = Of.RequestRate * Seconds + Of.Burst;
    return UsedShare * (Overage * Allowed + Slack);
  }
};

} // namespace carawaypond

#pragma once

#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <vector>

namespace carawaypond {

/// @brief When a replica counts as slow by what several VMs report about it.
struct SlowReportOptions {
  /// Minimum latency of a slow answer, as a multiple of the expected one.
  double MinRatio = 4;
  /// How long a report counts. A replica that gets no requests is tried again
  /// afterwards.
  Milliseconds Window{1'500};
  /// Minimum time from the first to the last slow answer. Replicas that pause
  /// for a tenth of a second are not slow.
  Milliseconds MinSpan{800};
  /// Reports of one VM within this time count once.
  Milliseconds MinGap{100};
  std::size_t MinVms = 4; ///< Minimum number of VMs that report it.
  /// Maximum number of VMs that report another replica of the service. If more
  /// do, there are queues, and leaving one out would overload the others.
  std::size_t MaxOtherVms = 1;
};

/// @brief The slow answers of one replica that VMs have reported lately.
///
/// Handles many VMs of which each one sends too seldom to notice by itself that
/// a replica is slow.
class SlowReports {
public:
  /// @return The number of VMs that report slow answers.
  [[nodiscard]] std::size_t vms(const SlowReportOptions &Options,
                                TimePoint Now) const;
  /// @return Whether enough VMs report slow answers over a long enough time.
  [[nodiscard]] bool areConclusive(const SlowReportOptions &Options,
                                   TimePoint Now) const;

  /// @param From The VM that got the slow answer.
  /// @param At When it got the answer, by this VM's clock.
  void add(const VmName &From, TimePoint At, const SlowReportOptions &Options,
           TimePoint Now);
  void clear() { m_Reports.clear(); }

private:
  struct Report {
    VmName From;
    TimePoint At;
  };

  [[nodiscard]] static bool
  isCurrent(const Report &Of, const SlowReportOptions &Options, TimePoint Now) {
    return Now - Of.At <= Options.Window;
  }

  std::vector<Report> m_Reports;
};

} // namespace carawaypond

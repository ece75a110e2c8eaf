#pragma once

#include "coordination/admission/ConcurrencyLimit.h"
#include "coordination/queue/ClassScheduler.h"
#include "coordination/subrequest/SubReason.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace carawaypond {

/// @brief The query may be sent; report its end with finished().
struct Admitted {};

/// @brief The query must not be sent: answer it as "not run".
struct AdmissionRefused {
  SubReason Reason = SubReason::Overloaded;
};

using AdmissionDecision = std::variant<Admitted, AdmissionRefused>;

/// @brief Limits on one service's queries at one VM.
struct AdmissionOptions {
  std::uint32_t ConcurrentQueries = 200;
  std::vector<ClassShare> Classes;
};

/// @brief Decides which of a service's queries are admitted.
///
/// Each class has a guaranteed share of the limit. It may use capacity beyond
/// its share only while no other active class needs it for its own share.
class AdmissionControl {
public:
  explicit AdmissionControl(const AdmissionOptions &Options);

  [[nodiscard]] std::uint32_t inUse() const { return m_InUse; }
  [[nodiscard]] std::uint32_t limit() const { return m_Limit.current(); }
  /// @return The expected wait of a query for a slot, from the latest reports.
  [[nodiscard]] Duration expectedWait(TimePoint Now) const;

  /// @brief Decides about a new query, and counts it if it is admitted.
  [[nodiscard]] AdmissionDecision admit(const ClassName &Class,
                                        TimePoint Deadline, TimePoint Now);
  /// @brief An admitted query has ended.
  /// @param MetDeadline False if a shard is missing for lack of time.
  void finished(const ClassName &Class, bool MetDeadline, TimePoint Now);
  /// @brief Records the expected wait of a queue of this VM or of another
  /// owner.
  void noteExpectedWait(Duration Wait, TimePoint Now);
  /// @brief Replaces the limits. Running queries continue.
  void reconfigure(const AdmissionOptions &Options);

private:
  struct ClassUse {
    double Share = 0;
    std::uint32_t InUse = 0;
    std::optional<TimePoint> LastAsked;
  };

  [[nodiscard]] std::uint32_t guaranteed(const ClassUse &Use) const;
  [[nodiscard]] std::uint32_t reservedForOthers(const ClassUse &Use,
                                                TimePoint Now) const;
  void setShares(const std::vector<ClassShare> &Classes);

  std::map<ClassName, ClassUse> m_Classes;
  ConcurrencyLimit m_Limit;
  std::uint32_t m_InUse = 0;
  Duration m_ReportedWait{};
  TimePoint m_WaitReportedAt{};
};

} // namespace carawaypond

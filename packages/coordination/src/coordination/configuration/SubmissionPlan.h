#pragma once

#include "coordination/configuration/Submission.h"
#include "coordination/configuration/SubmissionAction.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Finds a submission in a service's history.
/// @return The version that it created, or nullopt.
[[nodiscard]] std::optional<ConfigVersion>
findSubmission(const StoredService &Stored, const SubmissionId &Id);

/// @brief State machine that processes one submission without I/O: read the
/// object, check the submission, write conditionally, and read back whenever
/// the result of a write is in doubt. Each write is conditional on the version
/// read, so at most one of all attempts takes effect.
class SubmissionPlan {
public:
  static constexpr int MaxWrites = 5;
  static constexpr Milliseconds RetryDelay{100};

  /// @param Deadline No new read or write is started after it.
  SubmissionPlan(Submission Wanted, TimePoint Deadline);

  [[nodiscard]] bool isFinished() const { return m_Finished; }

  /// @return The first action.
  [[nodiscard]] SubmissionAction start() const;
  /// @brief Handles the answer to ReadObject.
  /// @param Found The object, nullopt if it does not exist, or the error of the
  /// read.
  SubmissionAction onRead(const Result<std::optional<StoredObject>> &Found,
                          TimePoint Now);
  /// @brief Handles the answer to WriteObject.
  SubmissionAction onWrite(WriteResult Answer, TimePoint Now);

private:
  SubmissionAction decide(const std::optional<StoredObject> &Found,
                          TimePoint Now);
  SubmissionAction write(const std::optional<StoredObject> &Found,
                         TimePoint Now);
  [[nodiscard]] SubmissionAction readBack() const;
  SubmissionAction finish(SubmissionOutcome Outcome);
  [[nodiscard]] Result<StoredService>
  makeNext(const std::optional<StoredObject> &Found) const;

  Submission m_Wanted;
  TimePoint m_Deadline;
  ConfigVersion m_Written; ///< The version that this plan tries to create.
  int m_Writes = 0;
  bool m_Finished = false;
};

} // namespace carawaypond

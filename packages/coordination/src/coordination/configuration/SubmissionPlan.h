#pragma once

#include "coordination/configuration/Submission.h"
#include "coordination/configuration/SubmissionAction.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <optional>

namespace carawaypond {

/// @brief Looks for a submission that took effect.
/// @return The version that it made, or nothing.
[[nodiscard]] std::optional<ConfigVersion>
findSubmission(const StoredService &Stored, const SubmissionId &Id);

/// @brief Carries one submission to an outcome: read, check, write on
/// condition, and read back whenever an answer is in doubt. The write names
/// the version read, so of all attempts at most one takes effect.
class SubmissionPlan {
public:
  static constexpr int MaxWrites = 5;
  static constexpr Milliseconds RetryDelay{100};

  /// @param Deadline After it the plan starts nothing new.
  SubmissionPlan(Submission Wanted, TimePoint Deadline);

  [[nodiscard]] bool isFinished() const { return m_Finished; }

  /// @return The first action.
  [[nodiscard]] SubmissionAction start() const;
  /// @brief Takes the answer to ReadObject.
  /// @param Found The object, nothing when there is none, or why it can't be
  /// told.
  SubmissionAction onRead(const Result<std::optional<StoredObject>> &Found,
                          TimePoint Now);
  /// @brief Takes the answer to WriteObject.
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
  ConfigVersion m_Written; ///< The version that this plan tries to make.
  int m_Writes = 0;
  bool m_Finished = false;
};

} // namespace carawaypond

#include "coordination/query/QueryFinalState.h"

#include "coordination/internal/Mutant.h"
#include "core/invariant/Invariant.h"

#include <algorithm>
#include <utility>

namespace carawaypond {

namespace {

using internal::isMutant;
using internal::Mutant;

bool isInDoubt(const QueryFinalState &End) {
  if (isMutant(Mutant::DoubtIsNotRun) || End.PossiblyRun == 0)
    return false;
  if (End.Repeatable)
    return End.Answers.empty();
  return End.PossiblyRun > End.Answers.size();
}

void checkCoverage(const QueryFinalState &End) {
  CARAWAYPOND_INVARIANT(
      isMutant(Mutant::CoverageFromAnswers) ||
          End.Answers.size() + End.Missing.size() == End.Pinned.Shards.size(),
      "answered and missing shards do not add up to the layout's shards");
}

void checkVersions(const QueryFinalState &End) {
  auto IsPinned = [&](const ShardAnswer &Answer) {
    return Answer.Version == End.Pinned.Version &&
           Answer.Layout == End.Pinned.Layout;
  };
  CARAWAYPOND_INVARIANT(
      isMutant(Mutant::MixVersions) ||
          std::all_of(End.Answers.begin(), End.Answers.end(), IsPinned),
      "a result has answers of a version or layout that was not pinned");
}

QueryResult concludeIncomplete(QueryFinalState End) {
  SubReason Reason =
      End.Missing.empty() ? SubReason::NoSnapshot : End.Missing.front().Reason;
  if (isInDoubt(End))
    return QueryUnknown{.Reason = Reason};
  if (!End.Answers.empty())
    return QueryPartial{.Version = End.Pinned.Version,
                        .Layout = End.Pinned.Layout,
                        .Answers = std::move(End.Answers),
                        .Missing = std::move(End.Missing)};
  CARAWAYPOND_INVARIANT(isMutant(Mutant::DoubtIsNotRun) || End.PossiblyRun == 0,
                        "\"not run\" for a query that may have run");
  return QueryNotRun{.Reason = Reason};
}

} // namespace

QueryResult conclude(QueryFinalState End) {
  checkCoverage(End);
  checkVersions(End);
  if (!End.Missing.empty() || End.Answers.empty())
    return concludeIncomplete(std::move(End));
  return QueryComplete{.Version = End.Pinned.Version,
                       .Layout = End.Pinned.Layout,
                       .Answers = std::move(End.Answers)};
}

} // namespace carawaypond

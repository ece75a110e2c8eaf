#include "ResultChecker.h"

#include <array>
#include <sstream>
#include <variant>

namespace carawaypond::proof {

std::shared_ptr<const std::string> ExecutionRecord::toPayload() const {
  std::ostringstream Out;
  Out << Query << ' ' << Shard << ' ' << Version << ' ' << Layout;
  return std::make_shared<const std::string>(Out.str());
}

ExecutionRecord ExecutionRecord::fromPayload(const std::string &Payload) {
  std::istringstream In(Payload);
  std::size_t Query = 0;
  std::uint32_t Shard = 0;
  std::uint64_t Version = 0;
  std::uint64_t Layout = 0;
  In >> Query >> Shard >> Version >> Layout;
  return {.Query = Query,
          .Shard = ShardId(Shard),
          .Version = IndexVersion(Version),
          .Layout = Layout};
}

void ResultChecker::require(TrafficProperty About, bool Holds,
                            std::size_t Query, const std::string &What) {
  if (About == m_Property && !Holds)
    m_Violations.push_back("query " + std::to_string(Query) + ": " + What);
}

std::size_t ResultChecker::runsOf(std::size_t Query) const {
  std::size_t Runs = 0;
  for (const auto &[Shard, Count] : m_Queries[Query].Runs)
    Runs += Count;
  return Runs;
}

void ResultChecker::onRun(const Subrequest &Request) {
  std::size_t Query = std::stoul(*Request.Request);
  Asked &Record = m_Queries[Query];
  std::size_t Runs = ++Record.Runs[Request.Shard];
  require(TrafficProperty::NotRun, Record.Repeatable || Runs == 1, Query,
          "is not repeatable, and ran twice on one shard");
  for (const QueryResult &Result : Record.Results)
    require(TrafficProperty::NotRun,
            !std::holds_alternative<QueryNotRun>(Result), Query,
            "ran after its caller was told \"not run\"");
}

void ResultChecker::checkAnswers(std::size_t Query,
                                 const std::vector<ShardAnswer> &Answers,
                                 IndexVersion Version, std::uint64_t Layout) {
  for (const ShardAnswer &Answer : Answers) {
    ExecutionRecord Ran = ExecutionRecord::fromPayload(*Answer.Payload);
    require(TrafficProperty::OneSnapshot,
            Ran.Version == Version && Ran.Layout == Layout, Query,
            "an answer is of version " + std::to_string(Ran.Version.value()) +
                ", the result of version " + std::to_string(Version.value()));
    require(TrafficProperty::OwnAnswer,
            Ran.Query == Query && Ran.Shard == Answer.Shard, Query,
            "got an answer to query " + std::to_string(Ran.Query));
  }
}

void ResultChecker::checkCoverage(std::size_t Query,
                                  const std::vector<ShardAnswer> &Answers,
                                  const std::vector<MissingShard> &Missing,
                                  const IndexLayout *Layout) {
  std::multiset<ShardId> Reported;
  for (const ShardAnswer &Answer : Answers)
    Reported.insert(Answer.Shard);
  for (const MissingShard &Shard : Missing)
    Reported.insert(Shard.Shard);
  std::multiset<ShardId> Expected;
  if (Layout != nullptr)
    for (const ShardReplicas &Shard : Layout->Shards)
      Expected.insert(Shard.Shard);
  require(TrafficProperty::TrueCoverage, Reported == Expected, Query,
          "accounts for " + std::to_string(Reported.size()) + " shards of " +
              std::to_string(Expected.size()));
}

void ResultChecker::onResult(std::size_t Query, const QueryResult &Result,
                             const IndexObject &Index) {
  m_Queries[Query].Results.push_back(Result);
  if (const auto *Complete = std::get_if<QueryComplete>(&Result)) {
    checkAnswers(Query, Complete->Answers, Complete->Version, Complete->Layout);
    checkCoverage(Query, Complete->Answers, {},
                  Index.findLayout(Complete->Layout));
  }
  if (const auto *Partial = std::get_if<QueryPartial>(&Result)) {
    checkAnswers(Query, Partial->Answers, Partial->Version, Partial->Layout);
    checkCoverage(Query, Partial->Answers, Partial->Missing,
                  Index.findLayout(Partial->Layout));
  }
  if (std::holds_alternative<QueryNotRun>(Result))
    require(TrafficProperty::NotRun, runsOf(Query) == 0, Query,
            "was told \"not run\", and had run");
}

std::map<std::string, std::uint64_t> ResultChecker::outcomes() const {
  static const std::array<std::string, 4> Kinds = {"complete", "partial",
                                                   "not run", "unknown"};
  std::map<std::string, std::uint64_t> Counts;
  for (const Asked &Query : m_Queries)
    for (const QueryResult &Result : Query.Results)
      ++Counts[(Query.Repeatable ? "repeatable, " : "not repeatable, ") +
               Kinds[Result.index()]];
  return Counts;
}

void ResultChecker::onEnd() {
  for (std::size_t Query = 0; Query < m_Queries.size(); ++Query)
    require(
        TrafficProperty::OwnAnswer, m_Queries[Query].Results.size() == 1, Query,
        "got " + std::to_string(m_Queries[Query].Results.size()) + " results");
}

} // namespace carawaypond::proof

#pragma once

#include "coordination/model/IndexObject.h"
#include "coordination/query/QueryResult.h"
#include "coordination/subrequest/Subrequest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace carawaypond::proof {

/// @brief The promise that a world is checked for.
enum class TrafficPromise { OneSnapshot, TrueCoverage, OwnAnswer, NotRun };

/// @brief What a backend server writes into an answer: what it really ran.
struct RanRecord {
  std::size_t Query = 0;
  ShardId Shard;
  IndexVersion Version;
  std::uint64_t Layout = 0;

  [[nodiscard]] std::shared_ptr<const std::string> toPayload() const;
  [[nodiscard]] static RanRecord fromPayload(const std::string &Payload);
};

/// @brief Compares results with what really ran. Knows nothing of how the
/// library came by them.
class ResultChecker {
public:
  explicit ResultChecker(TrafficPromise Promise) : m_Promise(Promise) {}

  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }

  /// @return How many queries ended with each kind of outcome.
  [[nodiscard]] std::map<std::string, std::uint64_t> outcomes() const;

  void onAsked(bool Repeatable) { m_Queries.push_back({Repeatable, {}, {}}); }
  /// @brief A backend server began to run a subrequest.
  void onRun(const Subrequest &Request);
  void onResult(std::size_t Query, const QueryResult &Result,
                const IndexObject &Index);
  /// @brief Nothing more can happen: every query must have one result.
  void onEnd();

private:
  struct Asked {
    bool Repeatable = true;
    std::map<ShardId, std::size_t> Runs;
    std::vector<QueryResult> Results;
  };

  [[nodiscard]] std::size_t runsOf(std::size_t Query) const;
  void checkAnswers(std::size_t Query, const std::vector<ShardAnswer> &Answers,
                    IndexVersion Version, std::uint64_t Layout);
  void checkCoverage(std::size_t Query, const std::vector<ShardAnswer> &Answers,
                     const std::vector<MissingShard> &Missing,
                     const IndexLayout *Layout);
  void require(TrafficPromise About, bool Holds, std::size_t Query,
               const std::string &What);

  TrafficPromise m_Promise;
  std::vector<Asked> m_Queries;
  std::vector<std::string> m_Violations;
};

} // namespace carawaypond::proof

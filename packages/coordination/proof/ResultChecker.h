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

/// @brief The property that a TrafficModel is checked for.
enum class TrafficProperty { OneSnapshot, TrueCoverage, OwnAnswer, NotRun };

/// @brief The content of a backend server's answer: what the server ran.
struct ExecutionRecord {
  std::size_t Query = 0;
  ShardId Shard;
  IndexVersion Version;
  std::uint64_t Layout = 0;

  [[nodiscard]] std::shared_ptr<const std::string> toPayload() const;
  [[nodiscard]] static ExecutionRecord fromPayload(const std::string &Payload);
};

/// @brief Compares results with what the backend servers ran. Independent of
/// how the library produced the results.
class ResultChecker {
public:
  explicit ResultChecker(TrafficProperty Property) : m_Property(Property) {}

  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }

  /// @return How many queries ended with each kind of outcome.
  [[nodiscard]] std::map<std::string, std::uint64_t> outcomes() const;

  void onQueryStarted(bool Repeatable) {
    m_Queries.push_back({Repeatable, {}, {}});
  }
  /// @brief Records that a backend server started to run a subrequest.
  void onRun(const Subrequest &Request);
  void onResult(std::size_t Query, const QueryResult &Result,
                const IndexObject &Index);
  /// @brief Called at the end of a case: checks that each query has one result.
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
  void require(TrafficProperty About, bool Holds, std::size_t Query,
               const std::string &What);

  TrafficProperty m_Property;
  std::vector<Asked> m_Queries;
  std::vector<std::string> m_Violations;
};

} // namespace carawaypond::proof

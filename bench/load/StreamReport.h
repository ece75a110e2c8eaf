#pragma once

#include "LatencyCounts.h"
#include "core/outcome/Result.h"
#include "http/Response.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace carawaypond::bench {

/// @brief What became of the queries of the streams with one name.
class StreamReport {
public:
  /// @param Length How long the reported arrivals went on.
  [[nodiscard]] nlohmann::json toJson(Duration Length) const;

  /// @brief Notes a query's end.
  /// @param Latency Since its scheduled arrival, however late it was sent.
  void add(const Result<http::Response> &Answer, Duration Latency,
           Duration Deadline);

private:
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Good = 0; ///< Complete, within the deadline.
  std::uint64_t m_ShardsAnswered = 0;
  std::uint64_t m_ShardsTotal = 0;
  std::map<std::string, std::uint64_t> m_Outcomes;
  std::map<std::string, std::uint64_t> m_Reasons;
  LatencyCounts m_Latencies; ///< Of all but refusals.
  LatencyCounts m_Refusals;
};

} // namespace carawaypond::bench

#pragma once

#include "LatencyCounts.h"
#include "core/outcome/Result.h"
#include "http/Response.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace carawaypond::bench {

/// @brief Outcomes and latencies of all streams that share a name.
class StreamReport {
public:
  /// @param Length Duration of the reported period, without warm-up.
  [[nodiscard]] nlohmann::json toJson(Duration Length) const;

  /// @brief Records a finished query.
  /// @param Latency Time since the scheduled arrival, even if it was sent late.
  void add(const Result<http::Response> &Answer, Duration Latency,
           Duration Deadline);

private:
  std::uint64_t m_Offered = 0;
  std::uint64_t m_Good = 0; ///< Complete answers within the deadline.
  std::uint64_t m_ShardsAnswered = 0;
  std::uint64_t m_ShardsTotal = 0;
  std::map<std::string, std::uint64_t> m_Outcomes;
  std::map<std::string, std::uint64_t> m_Reasons;
  LatencyCounts m_Latencies; ///< All queries except refused ones.
  LatencyCounts m_Refusals;
};

} // namespace carawaypond::bench

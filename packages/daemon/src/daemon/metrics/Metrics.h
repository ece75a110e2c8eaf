#pragma once

#include "core/id/Ids.h"
#include "core/metrics/LatencyHistogram.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace carawaypond::daemon {

/// @brief Totals of query outcomes and answered shards of one service.
struct CoverageTotals {
  std::uint64_t Complete = 0;
  std::uint64_t Partial = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t ShardsAnswered = 0;
  std::uint64_t ShardsTotal = 0;
};

/// @brief The daemon's counters and histograms. Thread-safe; a traffic thread
/// holds the lock only to update one value.
class Metrics {
public:
  /// @return All metrics in the Prometheus text format.
  [[nodiscard]] std::string prometheusText() const;
  /// @return The histograms by service and class.
  [[nodiscard]] nlohmann::json histograms() const;
  /// @return The coverage totals by service.
  [[nodiscard]] nlohmann::json coverage() const;
  [[nodiscard]] std::uint64_t counter(std::string_view Name) const;

  /// @brief Adds to the counter @p Name, such as `owner_lost_total` or
  /// `queries_total{outcome="complete"}`.
  void count(std::string_view Name, std::uint64_t By = 1);
  /// @brief Sets a gauge, or a total that is counted elsewhere.
  void set(std::string_view Name, std::uint64_t Value);
  void addLatency(const ServiceName &Service, const ClassName &Class,
                  Duration Latency);
  void addCoverage(const ServiceName &Service, const CoverageTotals &Added);

private:
  using ClassKey = std::pair<ServiceName, ClassName>;

  mutable std::mutex m_Mutex;
  std::map<std::string, std::uint64_t, std::less<>> m_Counters;
  std::map<ClassKey, LatencyHistogram> m_Latencies;
  std::map<ServiceName, CoverageTotals> m_Coverage;
};

} // namespace carawaypond::daemon

#include "daemon/metrics/Metrics.h"

#include "core/metrics/PrometheusText.h"

#include <nlohmann/json.hpp>

namespace carawaypond::daemon {

namespace {

constexpr const char *Prefix = "carawaypond_";

nlohmann::json toJson(const CoverageTotals &Totals) {
  return {{"complete", Totals.Complete},
          {"partial", Totals.Partial},
          {"not_run", Totals.NotRun},
          {"unknown", Totals.Unknown},
          {"shards_answered", Totals.ShardsAnswered},
          {"shards_total", Totals.ShardsTotal}};
}

} // namespace

std::string Metrics::prometheusText() const {
  std::scoped_lock Lock(m_Mutex);
  std::string Text;
  for (const auto &[Name, Value] : m_Counters)
    Text += Prefix + Name + ' ' + std::to_string(Value) + '\n';
  const std::string Latency = std::string(Prefix) + "query_milliseconds";
  Text += "# TYPE " + Latency + " histogram\n";
  for (const auto &[Key, Histogram] : m_Latencies)
    appendHistogram(Text, Latency,
                    prometheusLabel("service", Key.first.value()) + "," +
                        prometheusLabel("class", Key.second.value()),
                    Histogram);
  return Text;
}

nlohmann::json Metrics::histograms() const {
  std::scoped_lock Lock(m_Mutex);
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Key, Histogram] : m_Latencies) {
    nlohmann::json Buckets = nlohmann::json::array();
    for (std::size_t I = 0; I < LatencyBucketsMillis.size(); ++I)
      Buckets.push_back({{"le_ms", LatencyBucketsMillis[I]},
                         {"count", Histogram.cumulative(I)}});
    All.push_back({{"service", Key.first.value()},
                   {"class", Key.second.value()},
                   {"count", Histogram.count()},
                   {"p50_ms", Histogram.quantile(0.5)},
                   {"p99_ms", Histogram.quantile(0.99)},
                   {"p999_ms", Histogram.quantile(0.999)},
                   {"max_ms", Histogram.max()},
                   {"buckets", std::move(Buckets)}});
  }
  return {{"histograms", std::move(All)}};
}

nlohmann::json Metrics::coverage() const {
  std::scoped_lock Lock(m_Mutex);
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Service, Totals] : m_Coverage) {
    nlohmann::json Row = toJson(Totals);
    Row["service"] = Service.value();
    All.push_back(std::move(Row));
  }
  return {{"coverage", std::move(All)}};
}

std::uint64_t Metrics::counter(std::string_view Name) const {
  std::scoped_lock Lock(m_Mutex);
  auto Found = m_Counters.find(Name);
  return Found == m_Counters.end() ? 0 : Found->second;
}

void Metrics::count(std::string_view Name, std::uint64_t By) {
  std::scoped_lock Lock(m_Mutex);
  auto Found = m_Counters.find(Name);
  if (Found == m_Counters.end())
    Found = m_Counters.emplace(std::string(Name), 0).first;
  Found->second += By;
}

void Metrics::set(std::string_view Name, std::uint64_t Value) {
  std::scoped_lock Lock(m_Mutex);
  auto Found = m_Counters.find(Name);
  if (Found == m_Counters.end())
    Found = m_Counters.emplace(std::string(Name), 0).first;
  Found->second = Value;
}

void Metrics::addLatency(const ServiceName &Service, const ClassName &Class,
                         Duration Latency) {
  std::scoped_lock Lock(m_Mutex);
  m_Latencies[{Service, Class}].add(Latency);
}

void Metrics::addCoverage(const ServiceName &Service,
                          const CoverageTotals &Added) {
  std::scoped_lock Lock(m_Mutex);
  CoverageTotals &Totals = m_Coverage[Service];
  Totals.Complete += Added.Complete;
  Totals.Partial += Added.Partial;
  Totals.NotRun += Added.NotRun;
  Totals.Unknown += Added.Unknown;
  Totals.ShardsAnswered += Added.ShardsAnswered;
  Totals.ShardsTotal += Added.ShardsTotal;
}

} // namespace carawaypond::daemon

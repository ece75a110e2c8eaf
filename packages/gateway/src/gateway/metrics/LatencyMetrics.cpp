#include "gateway/metrics/LatencyMetrics.h"

#include "core/metrics/PrometheusText.h"

namespace carawaypond::gateway {

namespace {

constexpr const char *OtherNames = "other";

} // namespace

std::string LatencyMetrics::prometheusText() const {
  std::lock_guard Locked(m_Mutex);
  std::string Text;
  append(Text, "carawaypond_answer_milliseconds", "route", m_Answers);
  append(Text, "carawaypond_attempt_milliseconds", "service", m_Attempts);
  return Text;
}

void LatencyMetrics::addAnswer(const std::string &RequestRoute,
                               Duration Latency) {
  std::lock_guard Locked(m_Mutex);
  add(m_Answers, RequestRoute, Latency);
}

void LatencyMetrics::addAttempt(const ServiceName &Service, Duration Latency) {
  std::lock_guard Locked(m_Mutex);
  add(m_Attempts, Service.value(), Latency);
}

void LatencyMetrics::add(Histograms &To, const std::string &Name,
                         Duration Latency) {
  auto Found = To.find(Name);
  if (Found == To.end() && To.size() >= MaxNames)
    Found = To.try_emplace(OtherNames).first;
  else if (Found == To.end())
    Found = To.try_emplace(Name).first;
  Found->second.add(Latency);
}

void LatencyMetrics::append(std::string &To, std::string_view Metric,
                            std::string_view Label, const Histograms &From) {
  To.append("# TYPE ").append(Metric).append(" histogram\n");
  for (const auto &[Name, Histogram] : From)
    appendHistogram(To, Metric, prometheusLabel(Label, Name), Histogram);
}

} // namespace carawaypond::gateway

#include "StreamReport.h"

#include <nlohmann/json.hpp>

namespace carawaypond::bench {

namespace {

using FractionalMillis = std::chrono::duration<double, std::milli>;
using FractionalSeconds = std::chrono::duration<double>;

nlohmann::json toJson(const LatencyCounts &Counts) {
  auto Millis = [](Duration Span) { return FractionalMillis(Span).count(); };
  return {{"count", Counts.count()},
          {"p50", Millis(Counts.quantile(0.5))},
          {"p99", Millis(Counts.quantile(0.99))},
          {"p999", Millis(Counts.quantile(0.999))},
          {"max", Millis(Counts.max())}};
}

/// @return The body of the answer, or an object with the reason why there is
/// none.
nlohmann::json bodyOf(const Result<http::Response> &Answer) {
  if (!Answer)
    return {{"outcome", "lost"}, {"reason", Answer.error().Message}};
  auto Body = nlohmann::json::parse(Answer.value().Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("outcome"))
    return {{"outcome", "malformed"}, {"reason", "malformed"}};
  return Body;
}

} // namespace

nlohmann::json StreamReport::toJson(Duration Length) const {
  double Seconds = FractionalSeconds(Length).count();
  return {{"offered", m_Offered},
          {"goodput_per_s", static_cast<double>(m_Good) / Seconds},
          {"in_deadline", m_Good},
          {"outcomes", m_Outcomes},
          {"reasons", m_Reasons},
          {"shards_answered", m_ShardsAnswered},
          {"shards_total", m_ShardsTotal},
          {"latency_ms", bench::toJson(m_Latencies)},
          {"refusal_ms", bench::toJson(m_Refusals)}};
}

void StreamReport::add(const Result<http::Response> &Answer, Duration Latency,
                       Duration Deadline) {
  nlohmann::json Body = bodyOf(Answer);
  std::string Outcome = Body["outcome"];
  ++m_Offered;
  ++m_Outcomes[Outcome];
  if (Outcome == "complete" && Latency <= Deadline)
    ++m_Good;
  if (Body.contains("reason"))
    ++m_Reasons[Body["reason"].get<std::string>()];
  if (Body.contains("missing"))
    for (const nlohmann::json &Missing : Body["missing"])
      ++m_Reasons["shard " + Missing.value("reason", "unsaid")];
  if (Body.contains("coverage")) {
    m_ShardsAnswered += Body["coverage"].value("answered", 0U);
    m_ShardsTotal += Body["coverage"].value("total", 0U);
  }
  (Outcome == "not_run" ? m_Refusals : m_Latencies).add(Latency);
}

} // namespace carawaypond::bench

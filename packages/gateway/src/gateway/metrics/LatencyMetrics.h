#pragma once

#include "core/id/Ids.h"
#include "core/metrics/LatencyHistogram.h"
#include "core/time/Time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace carawaypond::gateway {

/// @brief Latency histograms of answers by route and of attempts by service.
/// Written by the traffic thread; any thread may read them.
class LatencyMetrics {
public:
  /// Maximum number of routes and of services; further names are counted as
  /// "other".
  static constexpr std::size_t MaxNames = 512;

  /// @return All histograms in the Prometheus text format.
  [[nodiscard]] std::string prometheusText() const;

  /// @brief Adds the latency of a successful answer, from the request's
  /// arrival.
  void addAnswer(const std::string &RequestRoute, Duration Latency);
  /// @brief Adds the latency of an attempt that a replica served.
  void addAttempt(const ServiceName &Service, Duration Latency);

private:
  using Histograms = std::map<std::string, LatencyHistogram, std::less<>>;

  static void add(Histograms &To, const std::string &Name, Duration Latency);
  static void append(std::string &To, std::string_view Metric,
                     std::string_view Label, const Histograms &From);

  mutable std::mutex m_Mutex;
  Histograms m_Answers;
  Histograms m_Attempts;
};

} // namespace carawaypond::gateway

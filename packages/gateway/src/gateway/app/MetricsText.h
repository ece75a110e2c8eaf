#pragma once

#include "adapter/StoreClient.h"
#include "gateway/control/FleetState.h"
#include "gateway/log/EventLog.h"
#include "gateway/metrics/LatencyMetrics.h"
#include "gateway/quota/QuotaService.h"
#include "gateway/traffic/TrafficCounters.h"

#include <string>

namespace carawaypond::gateway {

/// @return Counters and histograms in the Prometheus text format.
[[nodiscard]] std::string
metricsText(const TrafficCounters &Counters, const LatencyMetrics &Latencies,
            const FleetState &State, const adapter::StoreCallCounts &Calls,
            const QuotaService &Quota, const EventLog &Log);

} // namespace carawaypond::gateway

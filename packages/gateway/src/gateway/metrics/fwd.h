#pragma once

namespace carawaypond::gateway {

class LatencyMetrics;

} // namespace carawaypond::gateway

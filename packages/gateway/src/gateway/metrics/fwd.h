#pragma once

namespace carawaypond::gateway {

class LatencyMetrics;
class ReplicaCounts;

} // namespace carawaypond::gateway

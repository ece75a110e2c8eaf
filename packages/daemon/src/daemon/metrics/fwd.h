#pragma once

namespace carawaypond::daemon {

class Counters;
class LatencyHistogram;
class Metrics;

} // namespace carawaypond::daemon

#pragma once

namespace carawaypond {

class LatencyHistogram;
class LatencyTracker;
class ReplicaScores;

} // namespace carawaypond

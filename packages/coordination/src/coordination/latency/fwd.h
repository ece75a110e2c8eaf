#pragma once

namespace carawaypond {

class DecayingHistogram;
class LatencyTracker;
class ReplicaScores;

} // namespace carawaypond

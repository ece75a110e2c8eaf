#pragma once

namespace carawaypond {

enum class AttemptResult;
enum class ReplicaVerdict;
struct PlacementOptions;
class ReplicaFleet;
class ReplicaGauge;
class RouteLatency;
class ServiceFleet;

} // namespace carawaypond

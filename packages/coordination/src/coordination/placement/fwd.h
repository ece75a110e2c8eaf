#pragma once

namespace carawaypond {

enum class AttemptResult;
struct PlacementOptions;
class ReplicaFleet;
class ReplicaGauge;
class RouteLatency;
class ServiceFleet;

} // namespace carawaypond

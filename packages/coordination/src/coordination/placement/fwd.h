#pragma once

namespace carawaypond {

enum class AttemptResult;
enum class ReplicaHealth;
struct PlacementOptions;
class ReplicaFleet;
class ReplicaTracker;
class RouteLatency;
class ServiceFleet;

} // namespace carawaypond

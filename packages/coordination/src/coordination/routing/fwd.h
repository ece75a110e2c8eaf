#pragma once

namespace carawaypond {

enum class RequestKind;
struct CallerLimits;
struct ConfiguredService;
struct RequestRoute;
struct ReplicaLimits;
struct ShardSetTarget;
struct SingleTarget;
struct WeightedService;
struct WeightedTarget;
class RoutingTable;
class WeightedPicker;

} // namespace carawaypond

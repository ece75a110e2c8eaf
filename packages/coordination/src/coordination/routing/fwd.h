#pragma once

namespace carawaypond {

enum class RequestKind;
struct CallerLimits;
struct Route;
struct ServiceLimits;
struct ShardSetTarget;
struct SingleTarget;
struct WeightedService;
struct WeightedTarget;
class RoutingTable;
class WeightedPicker;

} // namespace carawaypond

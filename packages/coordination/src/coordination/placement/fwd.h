#pragma once

namespace carawaypond {

enum class AttemptResult;
enum class LoadBalance;
enum class ReplicaHealth;
struct LimitShare;
struct PlacementOptions;
struct ReplicaNotice;
struct ShareBoundOptions;
struct SlowAnswer;
struct SlowReportOptions;
class ReplicaFleet;
class ReplicaNotices;
class ReplicaTracker;
class RouteLatency;
class ServiceFleet;
class ShareBound;
class SlowReports;
class WarmupBudget;

} // namespace carawaypond

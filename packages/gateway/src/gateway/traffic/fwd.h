#pragma once

namespace carawaypond::gateway {

struct TrafficOptions;
struct TrafficView;
class ActiveRequest;
class ReplicaLinks;
class RequestRouter;
struct TrafficCounters;

} // namespace carawaypond::gateway

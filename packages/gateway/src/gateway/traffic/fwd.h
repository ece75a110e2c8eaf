#pragma once

namespace carawaypond::gateway {

struct TrafficOptions;
struct TrafficView;
class ActiveRequest;
class ReplicaLinks;
struct AttemptState;
struct RequestEnd;
struct TrafficCounters;
class VerdictLog;

} // namespace carawaypond::gateway

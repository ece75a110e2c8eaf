#pragma once

namespace carawaypond::daemon {

class BackendFleet;
class CallerApi;
class OwnerRunner;
class QueryDriver;
class ServiceRuntime;
class TrafficNode;
struct TrafficContext;

} // namespace carawaypond::daemon

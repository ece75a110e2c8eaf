#pragma once

namespace carawaypond::standins {

class BackendServer;
class ControlServer;
class Fleet;
class IndexPublisher;
class ServerDrain;
struct SearchRequest;
struct ServerStats;
struct ServiceRuntime;

} // namespace carawaypond::standins

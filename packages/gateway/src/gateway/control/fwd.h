#pragma once

namespace carawaypond::gateway {

class ConfigSink;
class ControlServers;
class FleetState;
class ReplicaSink;
class StoreFollower;
class StoreHealth;
class VmRegistration;

} // namespace carawaypond::gateway

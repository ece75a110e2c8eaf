#pragma once

namespace carawaypond::gateway {

class ConfigSink;
class ControlServers;
class EvacuationSink;
class FleetState;
class ReplicaSink;
class StoreFollower;
class StoreHealth;
class VmRegistration;

} // namespace carawaypond::gateway

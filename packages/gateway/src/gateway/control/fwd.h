#pragma once

namespace carawaypond::gateway {

class ConfigFollower;
class ControlServers;
class FleetState;
class ReplicaFollower;
class StoreHealth;
class VmRegistration;

} // namespace carawaypond::gateway

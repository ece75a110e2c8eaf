#pragma once

namespace carawaypond::standins {

class CallCounts;
class ObjectStore;
class PlatformFaults;
class PlatformServer;
class VmRegistry;
struct StoredObject;

} // namespace carawaypond::standins

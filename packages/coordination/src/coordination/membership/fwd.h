#pragma once

#include <cstdint>

namespace carawaypond {

enum class VmState : std::uint8_t;
class ArrivalHistory;
class MajorityTracker;
class Membership;
class VmTable;
struct CentreHeard;
struct HeldConfigVersion;
struct Contact;
struct Digest;
struct DrainSign;
struct HeldIndexVersion;
struct ListedVm;
struct MembershipOptions;
struct ServiceReplicaVersions;
struct VmRecord;

} // namespace carawaypond

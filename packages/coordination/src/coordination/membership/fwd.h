#pragma once

#include <cstdint>

namespace carawaypond {

enum class VmState : std::uint8_t;
class ArrivalHistory;
class Membership;
struct ConfigHeld;
struct Digest;
struct DrainSign;
struct IndexHeld;
struct MembershipOptions;
struct ServiceReplicaVersions;
struct VmRecord;

} // namespace carawaypond

#pragma once

namespace carawaypond {

enum class QuotaDecision;
struct QuotaToken;
struct AllocatorLeaseOptions;
struct AllocatorRecord;
struct QuotaAnswer;
struct QuotaCall;
struct QuotaGrant;
struct QuotaHolderOptions;
struct QuotaOptions;
struct QuotaUse;
struct StoredAllocator;
class AllocatorLease;
class QuotaAllocator;
class QuotaHolder;

} // namespace carawaypond

#pragma once

namespace carawaypond::gateway {

enum class QuotaResult;
struct AllocatorReport;
struct QuotaCounts;
class QuotaGate;
class QuotaService;

} // namespace carawaypond::gateway

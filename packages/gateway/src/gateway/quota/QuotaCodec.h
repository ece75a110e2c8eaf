#pragma once

#include "coordination/model/JsonReader.h"
#include "coordination/quota/QuotaMessages.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carawaypond::gateway {

/// Path under which the allocator takes calls of VMs.
constexpr const char *QuotaPath = "/v2/quota";

[[nodiscard]] nlohmann::json encodeAllocator(const AllocatorRecord &Record);
/// @return std::nullopt if fields are missing or of another type.
[[nodiscard]] std::optional<AllocatorRecord>
decodeAllocator(const nlohmann::json &Item);

[[nodiscard]] std::string encodeQuotaCall(const QuotaCall &Call);
/// @return std::nullopt if any part of @p Text cannot be parsed.
[[nodiscard]] std::optional<QuotaCall> decodeQuotaCall(std::string_view Text);

[[nodiscard]] std::string encodeQuotaAnswer(const QuotaAnswer &Answer);
/// @return std::nullopt if any part of @p Text cannot be parsed.
[[nodiscard]] std::optional<QuotaAnswer>
decodeQuotaAnswer(std::string_view Text);

} // namespace carawaypond::gateway

#pragma once

#include "core/outcome/Result.h"
#include "platform/ListedVm.h"
#include "platform/Object.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawaypond::platform::internal {

/// @brief Each of these functions parses the body of one kind of response.
/// @param What Names the request in an error's message.
/// @return The parsed value, or Malformed.
[[nodiscard]] Result<Object> parseObject(const std::string &Body,
                                         const std::string &What);
[[nodiscard]] Result<ObjectList> parseObjectList(const std::string &Body,
                                                 const std::string &What);
[[nodiscard]] Result<std::vector<ListedVm>>
parseVmList(const std::string &Body, const std::string &What);

/// @return The version that a body with status 412 names, if any.
[[nodiscard]] std::optional<std::uint64_t>
parseCurrentVersion(const std::string &Body);

} // namespace carawaypond::platform::internal

#pragma once

#include "common/HttpReply.h"
#include "core/outcome/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace carawaypond::standins {

[[nodiscard]] HttpReply jsonReply(unsigned Status, const nlohmann::json &Body);

/// @brief `{"reason", "message"}` with @p Status.
[[nodiscard]] HttpReply errorReply(unsigned Status, std::string_view Reason,
                                   const std::string &Message);

/// @brief 422 with the error's message.
[[nodiscard]] HttpReply invalidReply(const Error &Failure);

} // namespace carawaypond::standins

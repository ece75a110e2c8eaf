#pragma once

#include "coordination/routing/RequestRoute.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace carawaypond {

[[nodiscard]] std::string
joinText(std::initializer_list<std::string_view> Parts);
/// @return @p Text in quotation marks, with control characters escaped.
[[nodiscard]] std::string quoteText(std::string_view Text);
/// @return The name, host and prefix of @p Route.
[[nodiscard]] std::string describe(const RequestRoute &Route);
[[nodiscard]] std::string describe(const ServiceName &Name);
[[nodiscard]] std::string describe(const WorkspaceName &Name);

} // namespace carawaypond

#include "coordination/check/Wording.h"

#include <nlohmann/json.hpp>

namespace carawaypond {

std::string joinText(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Each : Parts)
    Text += Each;
  return Text;
}

std::string quoteText(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string describe(const RequestRoute &Route) {
  return joinText({"route ", quoteText(Route.Name), " of ",
                   quoteText(joinText({Route.Host, Route.Prefix}))});
}

std::string describe(const ServiceName &Name) {
  return joinText({"service ", quoteText(Name.value())});
}

std::string describe(const WorkspaceName &Name) {
  return joinText({"workspace ", quoteText(Name.value())});
}

} // namespace carawaypond

#include "http/Request.h"

#include "http/PercentCoding.h"

namespace carawaypond::http {

std::optional<std::string>
Request::queryParameter(std::string_view Name) const {
  std::string_view Rest = Query;
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    std::size_t Equals = Pair.find('=');
    std::optional<std::string> Key = percentDecode(Pair.substr(0, Equals));
    if (Key != Name)
      continue;
    if (Equals == std::string_view::npos)
      return std::string();
    return percentDecode(Pair.substr(Equals + 1));
  }
  return std::nullopt;
}

std::optional<std::string> Request::header(std::string_view Name) const {
  return findHeader(Headers, Name);
}

} // namespace carawaypond::http

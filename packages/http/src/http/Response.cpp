#include "http/Response.h"

namespace carawaypond::http {

std::optional<std::string> Response::header(std::string_view Name) const {
  return findHeader(Headers, Name);
}

} // namespace carawaypond::http

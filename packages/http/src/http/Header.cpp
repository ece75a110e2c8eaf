#include "http/Header.h"

#include <boost/beast/core/string.hpp>

namespace carawaypond::http {

std::optional<std::string> findHeader(const std::vector<Header> &Headers,
                                      std::string_view Name) {
  for (const Header &Field : Headers)
    if (boost::beast::iequals(Field.Name, Name))
      return Field.Value;
  return std::nullopt;
}

} // namespace carawaypond::http

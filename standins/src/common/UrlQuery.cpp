#include "common/UrlQuery.h"

#include <charconv>

namespace carawaypond::standins {

std::optional<std::string> UrlQuery::find(std::string_view Key) const {
  std::string_view Rest = m_Text;
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Key)
      return std::string(Pair.substr(Equals + 1));
  }
  return std::nullopt;
}

std::uint64_t UrlQuery::integerOr(std::string_view Key,
                                  std::uint64_t Default) const {
  std::optional<std::string> Text = find(Key);
  if (!Text)
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto [Stop, Failure] = std::from_chars(Text->data(), End, Value);
  return Failure == std::errc() && Stop == End ? Value : Default;
}

} // namespace carawaypond::standins

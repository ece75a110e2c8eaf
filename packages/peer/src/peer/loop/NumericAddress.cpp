#include "peer/loop/NumericAddress.h"

#include <charconv>
#include <cstdint>

#include <arpa/inet.h>

namespace carawaypond::peer {

namespace {

bool isIp(std::string Host) {
  in6_addr Binary{};
  if (::inet_pton(AF_INET, Host.c_str(), &Binary) == 1)
    return true;
  if (Host.size() < 2 || Host.front() != '[' || Host.back() != ']')
    return false;
  Host = Host.substr(1, Host.size() - 2);
  return ::inet_pton(AF_INET6, Host.c_str(), &Binary) == 1;
}

bool isPort(const std::string &Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Port);
  return Code == std::errc() && Stop == End;
}

} // namespace

Result<void> checkNumericAddress(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon != std::string::npos && isIp(Address.substr(0, Colon)) &&
      isPort(Address.substr(Colon + 1)))
    return success();
  return failure(ErrorCode::InvalidInput,
                 "\"" + Address + "\" must be \"ip:port\" in numbers");
}

} // namespace carawaypond::peer

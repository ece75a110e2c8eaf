#include "peer/traffic/Endpoint.h"

#include <charconv>
#include <cstdint>
#include <sstream>

namespace carawaypond::peer {

namespace {

std::string withoutBrackets(const std::string &Host) {
  if (Host.size() >= 2 && Host.front() == '[' && Host.back() == ']')
    return Host.substr(1, Host.size() - 2);
  return Host;
}

bool parsePort(const std::string &Text, std::uint16_t &Port) {
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Port);
  return Code == std::errc() && Stop == End;
}

} // namespace

Result<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  std::uint16_t Port = 0;
  if (Colon != std::string::npos &&
      parsePort(Address.substr(Colon + 1), Port)) {
    boost::system::error_code Code;
    auto Ip = boost::asio::ip::make_address(
        withoutBrackets(Address.substr(0, Colon)), Code);
    if (!Code)
      return boost::asio::ip::tcp::endpoint(Ip, Port);
  }
  return failure(ErrorCode::InvalidInput,
                 "\"" + Address + "\" must be \"ip:port\" in numbers");
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint) {
  std::ostringstream Text;
  Text << Endpoint;
  return Text.str();
}

} // namespace carawaypond::peer

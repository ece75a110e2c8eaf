#include "http/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace carawaypond::http {

namespace {

auto badAddress(std::string_view Address) {
  return failure(ErrorCode::InvalidInput,
                 "address \"" + std::string(Address) +
                     "\" must be \"ip:port\" or \"[ipv6]:port\"");
}

bool isBracketed(std::string_view Host) {
  return Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
}

} // namespace

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return badAddress(Address);
  std::string_view Host = Address.substr(0, Colon);
  std::string_view Digits = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Stop, Code] = std::from_chars(Digits.data(), End, Port);
  if (Digits.empty() || Code != std::errc() || Stop != End)
    return badAddress(Address);
  if (isBracketed(Host))
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string_view::npos)
    return badAddress(Address);
  boost::system::error_code Failed;
  auto Ip = boost::asio::ip::make_address(std::string(Host), Failed);
  if (Failed)
    return badAddress(Address);
  return boost::asio::ip::tcp::endpoint(Ip, Port);
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint) {
  std::string Ip = Endpoint.address().to_string();
  if (Endpoint.address().is_v6())
    Ip = "[" + Ip + "]";
  return Ip + ":" + std::to_string(Endpoint.port());
}

} // namespace carawaypond::http

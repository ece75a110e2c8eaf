#include "gateway/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace carawaypond::gateway {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

std::uint16_t freePort() {
  boost::asio::io_context Context;
  for (;;) {
    tcp::acceptor Taken(Context, tcp::endpoint(tcp::v4(), 0));
    std::uint16_t Port = Taken.local_endpoint().port();
    udp::socket Datagrams(Context);
    boost::system::error_code Failed;
    Datagrams.open(udp::v4(), Failed);
    Datagrams.bind(udp::endpoint(udp::v4(), Port), Failed);
    if (!Failed)
      return Port;
  }
}

} // namespace carawaypond::gateway

#include "gateway/RawCaller.h"

#include "http/Endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace carawaypond::gateway {

RawCaller::RawCaller(const std::string &Address) {
  m_Socket.connect(http::parseEndpoint(Address).value());
}

void RawCaller::send(std::string_view Bytes) {
  boost::system::error_code Ignored;
  boost::asio::write(m_Socket, boost::asio::buffer(Bytes), Ignored);
}

std::string RawCaller::readHead() {
  boost::system::error_code Failed;
  std::size_t Size = boost::asio::read_until(
      m_Socket, boost::asio::dynamic_buffer(m_Received), "\r\n\r\n", Failed);
  if (Failed)
    return {};
  std::string Head = m_Received.substr(0, Size);
  m_Received.erase(0, Size);
  return Head;
}

std::string RawCaller::readAll() {
  boost::system::error_code Ended;
  boost::asio::read(m_Socket, boost::asio::dynamic_buffer(m_Received), Ended);
  return std::exchange(m_Received, {});
}

} // namespace carawaypond::gateway

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <capnp/message.h>
#include <kj/array.h>

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace carawaypond::bench {

/// @brief Length-prefixed Cap'n Proto messages over a socket. Messages
/// sent while a write is in progress go into the next write.
class FramedSocket {
public:
  using OnMessage = std::function<void(capnp::MessageReader &)>;

  FramedSocket(boost::asio::ip::tcp::socket Socket, OnMessage Handler);

  void startReading();
  void send(capnp::MessageBuilder &Message);

private:
  void takeFrames(std::size_t Bytes);
  void flush();

  boost::asio::ip::tcp::socket m_Socket;
  OnMessage m_Handler;
  std::vector<char> m_Input;
  std::size_t m_InputUsed = 0;
  std::vector<char> m_Waiting;
  std::vector<char> m_Writing;
};

} // namespace carawaypond::bench

#pragma once

#include "peer/schema/Peer.capnp.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <capnp/message.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::peer {

/// @brief Traffic messages over a socket, each with its length before it. What
/// is sent while a write is under way goes out with the next one.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  /// @brief What the owner hears; never after close().
  struct Events {
    std::function<void(wire::TrafficMessage::Reader)> OnMessage;
    std::function<void(const std::string &Reason)> OnClosed;
  };

  /// @param MaxMessageBytes A longer message closes the channel.
  FrameChannel(boost::asio::ip::tcp::socket Socket,
               std::size_t MaxMessageBytes);

  /// @return Bytes that wait in memory to be written.
  [[nodiscard]] std::size_t queuedBytes() const {
    return m_Waiting.size() + m_Writing.size();
  }

  /// @brief Starts to read.
  void start(Events Handlers);
  /// @brief Sends bytes as they are, ahead of all messages.
  void sendRaw(const char *Bytes, std::size_t Count);
  void send(capnp::MessageBuilder &Message);
  void close();

private:
  void readSome();
  void takeFrames();
  /// @return The whole frame's size when there is one, or 0.
  [[nodiscard]] std::size_t frameAt(std::size_t Offset);
  void handleFrame(std::size_t Offset, std::size_t Size);
  void writeWaiting();
  void fail(const std::string &Reason);

  boost::asio::ip::tcp::socket m_Socket;
  std::size_t m_MaxMessageBytes;
  Events m_Events;
  bool m_Closed = false;
  std::vector<char> m_Input;
  std::size_t m_InputUsed = 0;
  std::vector<char> m_Waiting;
  std::vector<char> m_Writing;
};

} // namespace carawaypond::peer

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

/// @brief Sends and receives length-prefixed traffic messages over a socket.
/// Messages sent during a write are coalesced into the next write.
class FrameChannel : public std::enable_shared_from_this<FrameChannel> {
public:
  /// @brief Callbacks to the owner. Not called after close().
  struct Events {
    std::function<void(wire::TrafficMessage::Reader)> OnMessage;
    std::function<void(const std::string &Reason)> OnClosed;
  };

  /// @param MaxMessageBytes Receiving a longer message closes the channel.
  FrameChannel(boost::asio::ip::tcp::socket Socket,
               std::size_t MaxMessageBytes);

  /// @return Bytes buffered for writing, including the write in progress.
  [[nodiscard]] std::size_t queuedBytes() const {
    return m_Waiting.size() + m_Writing.size();
  }

  /// @brief Starts reading.
  void start(Events Handlers);
  /// @brief Queues bytes without a length prefix. To be called before the first
  /// send(), which starts the write.
  void sendRaw(const char *Bytes, std::size_t Count);
  void send(capnp::MessageBuilder &Message);
  void close();

private:
  void readSome();
  void takeFrames();
  /// @return Size of the frame at @p Offset with its header, or 0 if it is
  /// incomplete or invalid. An invalid frame closes the channel.
  [[nodiscard]] std::size_t frameSizeAt(std::size_t Offset);
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

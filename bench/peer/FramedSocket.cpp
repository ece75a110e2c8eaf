#include "FramedSocket.h"

#include <boost/asio/write.hpp>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace carawaypond::bench {

namespace {

/// The length prefix is one Cap'n Proto word, so that messages stay aligned.
using Prefix = std::uint64_t;
constexpr std::size_t InputBytes = std::size_t{1} << 20;

} // namespace

FramedSocket::FramedSocket(boost::asio::ip::tcp::socket Socket,
                           OnMessage Handler)
    : m_Socket(std::move(Socket)), m_Handler(std::move(Handler)),
      m_Input(InputBytes) {
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true));
}

void FramedSocket::startReading() {
  m_Socket.async_read_some(
      boost::asio::buffer(m_Input.data() + m_InputUsed,
                          m_Input.size() - m_InputUsed),
      [this](boost::system::error_code Code, std::size_t Bytes) {
        if (Code)
          return;
        takeFrames(Bytes);
        startReading();
      });
}

void FramedSocket::takeFrames(std::size_t Bytes) {
  m_InputUsed += Bytes;
  std::size_t Taken = 0;
  while (m_InputUsed - Taken >= sizeof(Prefix)) {
    Prefix Length = 0;
    std::memcpy(&Length, m_Input.data() + Taken, sizeof Length);
    if (m_InputUsed - Taken - sizeof Length < Length)
      break;
    const char *Start = m_Input.data() + Taken + sizeof Length;
    capnp::FlatArrayMessageReader Reader(
        kj::arrayPtr(reinterpret_cast<const capnp::word *>(Start),
                     Length / sizeof(capnp::word)));
    m_Handler(Reader);
    Taken += sizeof Length + Length;
  }
  std::copy(m_Input.begin() + static_cast<std::ptrdiff_t>(Taken),
            m_Input.begin() + static_cast<std::ptrdiff_t>(m_InputUsed),
            m_Input.begin());
  m_InputUsed -= Taken;
}

void FramedSocket::send(capnp::MessageBuilder &Message) {
  kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  kj::ArrayPtr<const char> Bytes = Words.asChars();
  Prefix Length = Bytes.size();
  const char *Head = reinterpret_cast<const char *>(&Length);
  m_Waiting.insert(m_Waiting.end(), Head, Head + sizeof Length);
  m_Waiting.insert(m_Waiting.end(), Bytes.begin(), Bytes.end());
  if (m_Writing.empty())
    flush();
}

void FramedSocket::flush() {
  m_Writing.swap(m_Waiting);
  boost::asio::async_write(m_Socket, boost::asio::buffer(m_Writing),
                           [this](boost::system::error_code Code, std::size_t) {
                             m_Writing.clear();
                             if (!Code && !m_Waiting.empty())
                               flush();
                           });
}

} // namespace carawaypond::bench

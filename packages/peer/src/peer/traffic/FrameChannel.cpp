#include "peer/traffic/FrameChannel.h"

#include <boost/asio/write.hpp>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <utility>

namespace carawaypond::peer {

namespace {

/// The length takes a whole word (8 bytes), so that messages stay aligned.
using FrameLength = std::uint64_t;
constexpr std::size_t HeaderBytes = sizeof(FrameLength);
/// Ratio of the read limit (traversal limit) to the message size. 2, since some
/// fields are read twice.
constexpr std::uint64_t ReadLimitFactor = 2;
constexpr std::size_t FirstInputBytes = std::size_t{64} * 1024;

} // namespace

FrameChannel::FrameChannel(boost::asio::ip::tcp::socket Socket,
                           std::size_t MaxMessageBytes)
    : m_Socket(std::move(Socket)), m_MaxMessageBytes(MaxMessageBytes),
      m_Input(FirstInputBytes) {
  boost::system::error_code Ignored;
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

void FrameChannel::start(Events Handlers) {
  m_Events = std::move(Handlers);
  readSome();
}

void FrameChannel::sendRaw(const char *Bytes, std::size_t Count) {
  m_Waiting.insert(m_Waiting.end(), Bytes, Bytes + Count);
}

void FrameChannel::send(capnp::MessageBuilder &Message) {
  if (m_Closed)
    return;
  kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  kj::ArrayPtr<const char> Bytes = Words.asChars();
  FrameLength Length = Bytes.size();
  sendRaw(reinterpret_cast<const char *>(&Length), HeaderBytes);
  sendRaw(Bytes.begin(), Bytes.size());
  if (m_Writing.empty())
    writeWaiting();
}

void FrameChannel::close() {
  m_Closed = true;
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
}

void FrameChannel::readSome() {
  auto Free = boost::asio::buffer(m_Input.data() + m_InputUsed,
                                  m_Input.size() - m_InputUsed);
  m_Socket.async_read_some(
      Free, [Self = shared_from_this()](boost::system::error_code Code,
                                        std::size_t Bytes) {
        if (Self->m_Closed)
          return;
        if (Code)
          return Self->fail(Code.message());
        Self->m_InputUsed += Bytes;
        Self->takeFrames();
        if (!Self->m_Closed)
          Self->readSome();
      });
}

void FrameChannel::takeFrames() {
  std::size_t Taken = 0;
  while (!m_Closed) {
    std::size_t Size = frameSizeAt(Taken);
    if (Size == 0)
      break;
    handleFrame(Taken, Size);
    Taken += Size;
  }
  auto Begin = m_Input.begin();
  std::copy(Begin + static_cast<std::ptrdiff_t>(Taken),
            Begin + static_cast<std::ptrdiff_t>(m_InputUsed), Begin);
  m_InputUsed -= Taken;
}

std::size_t FrameChannel::frameSizeAt(std::size_t Offset) {
  std::size_t Available = m_InputUsed - Offset;
  if (Available < HeaderBytes)
    return 0;
  FrameLength Length = 0;
  std::memcpy(&Length, m_Input.data() + Offset, HeaderBytes);
  if (Length == 0 || Length % sizeof(capnp::word) != 0 ||
      Length > m_MaxMessageBytes) {
    fail("a message of " + std::to_string(Length) + " bytes is not allowed");
    return 0;
  }
  std::size_t Size = HeaderBytes + Length;
  if (Available >= Size)
    return Size;
  if (Size > m_Input.size())
    m_Input.resize(Offset + Size);
  return 0;
}

void FrameChannel::handleFrame(std::size_t Offset, std::size_t Size) {
  const char *Start = m_Input.data() + Offset + HeaderBytes;
  auto Words = kj::arrayPtr(reinterpret_cast<const capnp::word *>(Start),
                            (Size - HeaderBytes) / sizeof(capnp::word));
  try {
    capnp::ReaderOptions Limits;
    Limits.traversalLimitInWords = ReadLimitFactor * Words.size();
    capnp::FlatArrayMessageReader Reader(Words, Limits);
    m_Events.OnMessage(Reader.getRoot<wire::TrafficMessage>());
  } catch (const kj::Exception &Cause) {
    fail(Cause.getDescription().cStr());
  }
}

void FrameChannel::writeWaiting() {
  m_Writing.swap(m_Waiting);
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(m_Writing),
      [Self = shared_from_this()](boost::system::error_code Code, std::size_t) {
        Self->m_Writing.clear();
        if (Self->m_Closed)
          return;
        if (Code)
          return Self->fail(Code.message());
        if (!Self->m_Waiting.empty())
          Self->writeWaiting();
      });
}

void FrameChannel::fail(const std::string &Reason) {
  if (m_Closed)
    return;
  close();
  m_Events.OnClosed(Reason);
}

} // namespace carawaypond::peer

#include "gateway/pool/ReplicaConnection.h"

#include "core/invariant/Invariant.h"
#include "http/QuietSocket.h"
#include "http/ReadSize.h"
#include "http/Status.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <array>

namespace carawaypond::gateway {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Maximum number of interim answers and answers to other requests that may
/// precede the expected one.
constexpr unsigned MaxSkippedAnswers = 3;
/// Size of the buffer for unparsed bytes, as a multiple of MaxHeaderBytes.
constexpr std::size_t BuffersPerHeader = 2;
constexpr const char *TooLarge = "answer exceeds the memory for answers";
constexpr const char *OverWork = "answer costs more work than its bytes carry";

std::array<boost::asio::const_buffer, 3>
buffersOf(const adapter::EncodedSubrequest &Text) {
  return {boost::asio::buffer(Text.Forwarded->Head),
          boost::asio::buffer(Text.OwnHeaders),
          boost::asio::buffer(Text.Forwarded->Body)};
}

} // namespace

ReplicaConnection::ReplicaConnection(boost::asio::io_context &Context,
                                     ConnectionNumber Number,
                                     tcp::endpoint Remote,
                                     const PoolOptions &Options,
                                     std::shared_ptr<http::MemoryBudget> Memory)
    : m_Number(Number), m_Socket(Context), m_ConnectTimer(Context),
      m_Remote(std::move(Remote)), m_Options(Options),
      m_Buffer(BuffersPerHeader * Options.MaxHeaderBytes),
      m_Memory(std::move(Memory)), m_Reservation(makeReservation()) {}

bool ReplicaConnection::isReusable(bool IsIdempotent, TimePoint Now) {
  if (!m_IsReusable || !m_IsConnected || m_Current)
    return false;
  Milliseconds Margin =
      IsIdempotent ? m_Options.IdleMargin : m_Options.StrictIdleMargin;
  Milliseconds Timeout = m_IdleTimeout.value_or(m_Options.DefaultIdleTimeout);
  if (Now - m_IdleSince >= Timeout - Margin)
    return false;
  return http::isQuiet(m_Socket.native_handle());
}

void ReplicaConnection::start(Exchange Request) {
  CARAWAYPOND_INVARIANT(!m_Current, "two requests on one connection");
  m_Current = std::move(Request);
  ++m_Serial;
  m_SkippedAnswers = 0;
  m_IsWritten = false;
  m_Reader.beginExchange(monotonicNow());
  if (m_IsConnected)
    write();
  else
    connect();
}

void ReplicaConnection::connect() {
  error_code Failed;
  m_Socket.open(m_Remote.protocol(), Failed);
  if (Failed)
    return boost::asio::post(m_Socket.get_executor(),
                             [Self = shared_from_this(), Failed] {
                               if (Self->m_Current)
                                 Self->fail(false, Failed.message());
                             });
  m_Socket.set_option(tcp::no_delay(true), Failed);
  m_ConnectTimer.expires_after(m_Options.ConnectTimeout);
  m_ConnectTimer.async_wait([Self = shared_from_this()](error_code Stopped) {
    if (!Stopped && Self->isConnecting())
      Self->fail(false, "connect timed out");
  });
  m_Socket.async_connect(m_Remote,
                         [Self = shared_from_this()](error_code ConnectFailed) {
                           Self->m_ConnectTimer.cancel();
                           if (!Self->m_Current)
                             return;
                           if (ConnectFailed)
                             return Self->fail(false, ConnectFailed.message());
                           Self->m_IsConnected = true;
                           error_code Ignored;
                           Self->m_Socket.non_blocking(true, Ignored);
                           Self->m_IdleSince = monotonicNow();
                           Self->write();
                         });
}

void ReplicaConnection::write() {
  if (!m_Current->MaySend())
    return withdraw();
  // Held by the handler only, so that it is freed once it was written.
  auto Text = std::make_shared<const adapter::EncodedSubrequest>(
      m_Current->Compose(m_Number));
  m_Carried.add(m_Current->RequestId);
  boost::asio::async_write(m_Socket, buffersOf(*Text),
                           [Self = shared_from_this(), Serial = m_Serial,
                            Text](error_code Failed, std::size_t Bytes) {
                             if (!Self->m_Current || Self->m_Serial != Serial)
                               return;
                             Self->m_IsWritten = !Failed;
                             if (Failed && Bytes == 0)
                               return Self->fail(false, Failed.message());
                           });
  beginAnswer();
}

void ReplicaConnection::beginAnswer() {
  m_Parser.emplace();
  m_Buffer.reserve(http::ReadBytes);
  m_Parser->eager(true);
  m_Parser->skip(m_Current->IsHead);
  m_Parser->header_limit(static_cast<std::uint32_t>(m_Options.MaxHeaderBytes));
  m_Parser->body_limit(m_Options.MaxBodyBytes);
  m_Reader.beginMessage(*m_Parser);
  if (m_Buffer.size() > 0)
    read();
  else
    awaitBytes();
}

void ReplicaConnection::awaitBytes() {
  m_Socket.async_wait(
      tcp::socket::wait_read,
      [Self = shared_from_this(), Serial = m_Serial](error_code Failed) {
        if (!Self->m_Current || Self->m_Serial != Serial)
          return;
        if (Self->m_IsDropped)
          return Self->fail(true, TooLarge);
        if (Failed)
          return Self->failRead(Failed);
        Self->read();
      });
}

void ReplicaConnection::read() {
  error_code Failed;
  auto Verdict = http::WorkVerdict::Continue;
  m_Reader.beginTurn();
  while (Verdict == http::WorkVerdict::Continue && !Failed) {
    Verdict =
        m_Reader.read(m_Socket, m_Buffer, *m_Parser, monotonicNow(), Failed);
    if (Failed && Failed != boost::asio::error::would_block)
      return failRead(Failed);
    if (Verdict == http::WorkVerdict::Close)
      return failOverWork();
    if (hasInvalidStatus())
      return fail(true, "answer has an invalid status");
    if (!m_Reservation->tryGrow(answerBytes()))
      return fail(true, TooLarge);
    if (m_Parser->is_done())
      return onAnswer();
  }
  awaitBytes();
}

bool ReplicaConnection::hasInvalidStatus() const {
  unsigned Status = m_Parser->get().result_int();
  return m_Parser->is_header_done() && !http::isInterim(Status) &&
         !http::isFinal(Status);
}

std::size_t ReplicaConnection::answerBytes() {
  return m_Buffer.capacity() + m_Reader.fieldMemory() +
         m_Parser->get().body().capacity();
}

std::unique_ptr<http::MemoryReservation> ReplicaConnection::makeReservation() {
  return std::make_unique<http::MemoryReservation>(m_Memory,
                                                   [this] { drop(); });
}

void ReplicaConnection::drop() {
  m_IsDropped = true;
  m_Parser.reset();
  m_Buffer.clear();
  m_Buffer.shrink_to_fit();
  error_code Ignored;
  m_Socket.close(Ignored);
}

void ReplicaConnection::onAnswer() {
  bool IsInterim = http::isInterim(m_Parser->get().result_int());
  adapter::ReplicaReply Reply = adapter::decodeReply(m_Parser->release());
  bool IsOther =
      !Reply.RequestId.empty() && Reply.RequestId != m_Current->RequestId;
  if (!IsInterim && !IsOther)
    return succeed(std::move(Reply));
  m_Reservation->reset();
  m_IsReusable = m_IsReusable && IsInterim;
  // An answer to HEAD has no body: where the other answer ends is not known.
  if (IsOther && m_Current->IsHead)
    return fail(true, "answer to another request before that to HEAD");
  if (++m_SkippedAnswers > MaxSkippedAnswers || (IsOther && !Reply.KeepsAlive))
    return fail(true, "too many interim answers or answers to other requests");
  beginAnswer();
}

void ReplicaConnection::succeed(adapter::ReplicaReply Reply) {
  bool IsClean = m_IsWritten && m_Buffer.size() == 0;
  // A late second copy of an answer to HEAD would swallow the next answer.
  m_IsReusable =
      m_IsReusable && Reply.KeepsAlive && IsClean && !m_Current->IsHead;
  m_IdleTimeout = Reply.IdleTimeout;
  m_IdleSince = monotonicNow();
  passOnReservation(Reply);
  auto Done = std::move(m_Current->Done);
  m_Current.reset();
  if (!m_IsReusable)
    close();
  Done(std::move(Reply));
}

void ReplicaConnection::passOnReservation(adapter::ReplicaReply &Reply) {
  m_Parser.reset();
  // Idle connections are many, and no limit counts their buffers.
  if (m_Buffer.size() == 0)
    m_Buffer.shrink_to_fit();
  if (m_Reservation->bytes() == 0)
    return;
  m_Reservation->retain();
  Reply.Reservation = std::move(m_Reservation);
  m_Reservation = makeReservation();
}

void ReplicaConnection::withdraw() {
  // Posted, because Done may start the next waiting request on this connection,
  // which may be withdrawn as well.
  boost::asio::post(m_Socket.get_executor(),
                    [Self = shared_from_this(), Serial = m_Serial] {
                      if (!Self->m_Current || Self->m_Serial != Serial)
                        return;
                      auto Done = std::move(Self->m_Current->Done);
                      Self->m_Current.reset();
                      Done(ExchangeFailure::withdrawn());
                    });
}

void ReplicaConnection::fail(bool WasSent, const std::string &Why) {
  fail(ExchangeFailure{.WasSent = WasSent, .Why = Why});
}

void ReplicaConnection::failRead(const error_code &Cause) {
  namespace beast_http = boost::beast::http;
  bool IsLost = Cause == beast_http::error::end_of_stream ||
                Cause == beast_http::error::partial_message ||
                Cause == boost::asio::error::eof ||
                Cause == boost::asio::error::connection_reset;
  fail(ExchangeFailure{.IsConnectionLost = IsLost, .Why = Cause.message()});
}

void ReplicaConnection::failOverWork() {
  fail(ExchangeFailure{.IsOverWork = true, .Why = OverWork});
}

void ReplicaConnection::fail(ExchangeFailure How) {
  auto Done = std::move(m_Current->Done);
  m_Current.reset();
  close();
  Done(std::move(How));
}

void ReplicaConnection::cancel() {
  m_Current.reset();
  close();
}

void ReplicaConnection::close() {
  m_Reservation->reset();
  m_IsReusable = false;
  m_IsConnected = false;
  m_ConnectTimer.cancel();
  error_code Ignored;
  m_Socket.close(Ignored);
}

} // namespace carawaypond::gateway

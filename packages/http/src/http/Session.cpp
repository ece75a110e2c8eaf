#include "http/Session.h"

#include "http/BeastMessage.h"
#include "http/Endpoint.h"
#include "http/ErrorResponse.h"
#include "http/FieldMemory.h"
#include "http/QuietSocket.h"
#include "http/ReadSize.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <exception>
#include <optional>

namespace carawaypond::http::internal {

namespace beast_http = boost::beast::http;
using boost::asio::awaitable;
using boost::system::error_code;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// How far the buffer may grow beyond the header limit.
constexpr std::size_t ReadAheadBytes = std::size_t{64} << 10;
/// How long to keep reading after the last response. Bytes that arrive at a
/// closed socket cause a reset, which could overtake the response.
constexpr Milliseconds LingerTimeout{500};
constexpr std::size_t DiscardBytes = 4096;
/// The parsed head, and the copy of it that the handler gets.
constexpr std::size_t CopiesOfHead = 2;
constexpr std::string_view ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

/// @brief Counts a request as in flight during the guard's lifetime.
class InFlightGuard {
public:
  explicit InFlightGuard(ListenerStats &Stats) : m_Stats(Stats) {
    ++m_Stats.InFlight;
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;
  ~InFlightGuard() { --m_Stats.InFlight; }

private:
  ListenerStats &m_Stats;
};

bool isHeaderTooLarge(error_code Cause) {
  return Cause == beast_http::error::header_limit ||
         Cause == beast_http::error::buffer_overflow;
}

/// @return Whether the peer violated the protocol, as opposed to closing the
/// connection.
bool isProtocolError(error_code Cause) {
  return Cause.category() ==
             beast_http::make_error_code(beast_http::error::bad_method)
                 .category() &&
         Cause != beast_http::error::end_of_stream &&
         Cause != beast_http::error::partial_message;
}

} // namespace

Session::Session(std::shared_ptr<SessionTable> Table,
                 boost::asio::ip::tcp::socket Socket,
                 const boost::asio::ip::tcp::endpoint &Remote)
    : m_Table(std::move(Table)), m_Socket(std::move(Socket)),
      m_RemoteIp(Remote.address().to_string()),
      m_RemoteAddress(formatEndpoint(Remote)),
      m_Buffer(m_Table->options().MaxHeaderBytes + ReadAheadBytes) {
  error_code Ignored;
  m_Socket.non_blocking(true, Ignored);
  m_Table->add(*this);
}

Session::~Session() { m_Table->remove(*this); }

bool Session::hasUnreadBytes() const {
  error_code Failed;
  return m_Socket.available(Failed) > 0 && !Failed;
}

bool Session::mustClose() const {
  bool Asked = m_CloseWhenIdle || m_Table->isDraining();
  return Asked && m_Buffer.size() == 0 && !hasUnreadBytes();
}

void Session::waitAtMost(Milliseconds Timeout) {
  m_Expired = false;
  m_Due = monotonicNow() + Timeout;
}

void Session::waitForever() {
  m_Expired = false;
  m_Due = TimePoint::max();
}

void Session::expire(TimePoint Now) {
  if (Now < m_Due)
    return;
  m_Due = TimePoint::max();
  m_Expired = true;
  error_code Ignored;
  m_Socket.cancel(Ignored);
}

void Session::closeWhenIdle() {
  m_CloseWhenIdle = true;
  if (!m_Idle)
    return;
  error_code Ignored;
  m_Socket.cancel(Ignored);
}

void Session::abort() {
  error_code Ignored;
  m_Socket.close(Ignored);
}

awaitable<void> Session::run() {
  bool HasRequest = co_await awaitRequest();
  while (HasRequest) {
    bool KeepAlive = co_await serveRequest();
    if (!KeepAlive)
      break;
    HasRequest = co_await awaitRequest();
  }
  // Waiting for the peer to read the refusal would mean reading on.
  if (m_IsOverWork)
    co_return abort();
  co_await shutDown();
}

awaitable<bool> Session::awaitRequest() {
  if (m_Buffer.size() > 0)
    co_return true;
  shrinkBuffer();
  bool IsWaiting = !m_CloseWhenIdle;
  waitAtMost(m_Table->options().IdleTimeout);
  while (IsWaiting) {
    m_Idle = true;
    co_await m_Socket.async_wait(boost::asio::socket_base::wait_read, AsTuple);
    m_Idle = false;
    // The wait may report bytes that were read before it started.
    IsWaiting =
        !m_Expired && !m_CloseWhenIdle && isQuiet(m_Socket.native_handle());
  }
  if (hasUnreadBytes())
    co_return true;
  if (m_Expired || m_CloseWhenIdle)
    co_await announceClose();
  co_return false;
}

awaitable<bool> Session::serveRequest() {
  InFlightGuard Counted(m_Table->counters());
  TimePoint ReceivedAt = monotonicNow();
  Parser Incoming;
  Incoming.header_limit(
      static_cast<std::uint32_t>(m_Table->options().MaxHeaderBytes));
  Incoming.body_limit(m_Table->options().MaxBodyBytes);
  auto Held = std::make_shared<MemoryReservation>(m_Table->memory());
  error_code Failed = co_await readRequest(Incoming, *Held);
  if (Failed)
    co_return co_await reject(Failed);
  bool KeepAlive = Incoming.get().keep_alive();
  std::optional<Request> Asked = fromBeast(Incoming.release());
  if (!Asked)
    co_return co_await reject(beast_http::error::bad_target);
  Asked->RemoteAddress = m_RemoteAddress;
  Asked->ReceivedAt = ReceivedAt;
  Asked->Reservation = Held;
  bool IsHead = Asked->Method == "HEAD";
  waitForever();
  ++m_Table->counters().Requests;
  Response Answer = co_await callHandler(std::move(*Asked));
  co_return co_await write(std::move(Answer), KeepAlive, IsHead);
}

awaitable<error_code> Session::readRequest(Parser &Into,
                                           MemoryReservation &Held) {
  m_Buffer.reserve(ReadBytes);
  m_Reader.beginExchange(monotonicNow());
  m_Reader.beginMessage(Into);
  m_Reader.beginTurn();
  waitAtMost(m_Table->options().HeaderTimeout);
  while (!Into.is_header_done()) {
    error_code Failed = co_await readMore(Into, Held);
    if (Failed)
      co_return Failed;
  }
  waitAtMost(m_Table->options().BodyTimeout);
  co_await sendContinue(Into);
  Into.eager(true);
  while (!Into.is_done()) {
    error_code Failed = co_await readMore(Into, Held);
    if (Failed)
      co_return Failed;
  }
  co_return error_code();
}

std::size_t Session::requestBytes(const Parser &Read) const {
  std::size_t Bytes = m_Buffer.capacity() + Read.get().body().capacity();
  if (Read.is_header_done())
    return Bytes + CopiesOfHead * fieldMemory(Read.get());
  return Bytes + m_Reader.fieldMemory();
}

awaitable<error_code> Session::readMore(Parser &Into, MemoryReservation &Held) {
  error_code Failed;
  WorkVerdict Verdict =
      m_Reader.read(m_Socket, m_Buffer, Into, monotonicNow(), Failed);
  m_IsOverWork = Verdict == WorkVerdict::Close;
  if (m_IsOverWork)
    co_return make_error_code(boost::system::errc::protocol_error);
  bool IsWaiting = Failed == boost::asio::error::would_block;
  if (Failed && !IsWaiting)
    co_return Failed;
  if (!Held.tryGrow(requestBytes(Into)))
    co_return make_error_code(boost::system::errc::not_enough_memory);
  if (!IsWaiting && Verdict == WorkVerdict::Continue)
    co_return error_code();
  m_Reader.beginTurn();
  if (!IsWaiting) {
    co_await boost::asio::post(m_Socket.get_executor(), AsTuple);
    co_return m_Expired ? error_code(boost::asio::error::operation_aborted)
                        : error_code();
  }
  if (m_Expired)
    co_return boost::asio::error::operation_aborted;
  auto [WaitFailed] = co_await m_Socket.async_wait(
      boost::asio::socket_base::wait_read, AsTuple);
  co_return WaitFailed;
}

void Session::shrinkBuffer() {
  if (m_Buffer.size() == 0)
    m_Buffer.shrink_to_fit();
}

awaitable<void> Session::sendContinue(const Parser &Headers) {
  auto Expected = Headers.get()[beast_http::field::expect];
  if (!boost::beast::iequals(Expected, "100-continue") || Headers.is_done())
    co_return;
  co_await boost::asio::async_write(m_Socket, boost::asio::buffer(ContinueLine),
                                    AsTuple);
}

awaitable<bool> Session::reject(error_code Cause) {
  ListenerStats &Stats = m_Table->counters();
  Response Answer;
  if (m_Expired) {
    ++Stats.TimedOut;
    Answer = errorResponse(408, "not_run", "timeout",
                           "the request did not arrive in time");
  } else if (isHeaderTooLarge(Cause)) {
    ++Stats.Oversized;
    Answer = errorResponse(
        431, "not_run", "header_too_large",
        "the header must not exceed " +
            std::to_string(m_Table->options().MaxHeaderBytes) + " bytes");
  } else if (Cause == beast_http::error::body_limit) {
    ++Stats.Oversized;
    Answer = errorResponse(413, "not_run", "body_too_large",
                           "the body must not exceed " +
                               std::to_string(m_Table->options().MaxBodyBytes) +
                               " bytes");
  } else if (m_IsOverWork) {
    ++Stats.OverWork;
    Answer = errorResponse(400, "not_run", "too_much_work",
                           "the request came in too many small pieces");
  } else if (Cause == boost::system::errc::not_enough_memory) {
    ++Stats.OutOfMemory;
    Answer = errorResponse(503, "not_run", "out_of_memory",
                           "the memory for requests is used up");
  } else if (isProtocolError(Cause)) {
    ++Stats.Malformed;
    Answer = errorResponse(400, "not_run", "malformed", Cause.message());
  } else {
    co_return false;
  }
  co_return co_await write(std::move(Answer), false, false);
}

awaitable<Response> Session::callHandler(Request Asked) {
  Response Answer;
  if (m_Table->options().WatchCallers) {
    Asked.Caller = std::make_shared<CallerConnection>();
    m_Watched = Asked.Caller;
    watchCaller(Asked.Caller);
  }
  try {
    Answer = co_await m_Table->handler()(std::move(Asked));
  } catch (const std::exception &Thrown) {
    Answer = errorResponse(500, "unknown", "failed", Thrown.what());
  }
  stopWatchingCaller();
  co_return Answer;
}

void Session::watchCaller(const std::shared_ptr<CallerConnection> &Caller) {
  m_IsCallerWaitPending = true;
  m_Socket.async_wait(boost::asio::socket_base::wait_read,
                      [Self = shared_from_this(), Caller](error_code Failed) {
                        Self->m_IsCallerWaitPending = false;
                        if (Failed || Self->m_Watched != Caller)
                          return;
                        if (isQuiet(Self->m_Socket.native_handle()))
                          return Self->watchCaller(Caller);
                        if (!Self->hasUnreadBytes())
                          Caller->leave();
                      });
}

void Session::stopWatchingCaller() {
  if (!m_Watched)
    return;
  m_Watched->end();
  m_Watched.reset();
  if (!m_IsCallerWaitPending)
    return;
  error_code Ignored;
  m_Socket.cancel(Ignored);
}

awaitable<bool> Session::write(Response Answer, bool KeepAlive, bool IsHead) {
  KeepAlive = KeepAlive && !mustClose();
  std::shared_ptr<MemoryReservation> Reservation =
      std::move(Answer.Reservation);
  beast_http::response<beast_http::string_body> Outgoing =
      toBeast(std::move(Answer), KeepAlive);
  if (IsHead)
    Outgoing.body().clear();
  waitAtMost(m_Table->options().WriteTimeout);
  auto [Failed, Bytes] =
      co_await beast_http::async_write(m_Socket, Outgoing, AsTuple);
  if (Failed && m_Expired)
    ++m_Table->counters().TimedOut;
  if (Failed)
    abort();
  co_return KeepAlive && !Failed;
}

awaitable<void> Session::announceClose() {
  if (!m_Table->options().AnnounceIdleClose)
    co_return;
  Response Answer =
      errorResponse(408, "not_run", "closing", "the connection was idle");
  co_await write(std::move(Answer), false, false);
}

awaitable<void> Session::shutDown() {
  error_code Failed;
  m_Socket.shutdown(boost::asio::socket_base::shutdown_send, Failed);
  waitAtMost(LingerTimeout);
  std::array<char, DiscardBytes> Discarded;
  while (!Failed && !m_Expired) {
    auto [ReadFailed, Bytes] = co_await m_Socket.async_read_some(
        boost::asio::buffer(Discarded), AsTuple);
    Failed = ReadFailed;
  }
  abort();
}

} // namespace carawaypond::http::internal

#include "http/ClientStream.h"

#include "core/invariant/Invariant.h"
#include "http/ChunkWork.h"
#include "http/Endpoint.h"
#include "http/QuietSocket.h"
#include "http/Status.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace carawaypond::http::internal {

namespace beast_http = boost::beast::http;
using boost::asio::awaitable;
using boost::system::error_code;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Maximum number of interim (1xx) responses before the final response.
constexpr int MaxInterimAnswers = 4;
constexpr std::size_t ReadAheadBytes = std::size_t{64} << 10;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

using Parser = beast_http::response_parser<beast_http::string_body>;

/// @brief Closes the stream unless complete() was called.
class ExchangeGuard {
public:
  ExchangeGuard(ClientStream &Stream, bool &Busy)
      : m_Stream(Stream), m_Busy(Busy) {
    m_Busy = true;
  }
  ExchangeGuard(const ExchangeGuard &) = delete;
  ExchangeGuard &operator=(const ExchangeGuard &) = delete;
  ~ExchangeGuard() {
    m_Busy = false;
    if (!m_Completed)
      m_Stream.close();
  }

  void complete() { m_Completed = true; }

private:
  ClientStream &m_Stream;
  bool &m_Busy;
  bool m_Completed = false;
};

bool statesLength(const Parser &Headers) {
  unsigned Status = Headers.get().result_int();
  return Headers.content_length() || Headers.chunked() || Status == NoContent ||
         Status == NotModified;
}

/// @return Whether @p Cause means that the connection was lost, as opposed to
/// the peer sending invalid data.
bool isLoss(const error_code &Cause) {
  return Cause == beast_http::error::end_of_stream ||
         Cause == beast_http::error::partial_message ||
         Cause.category() == boost::system::system_category() ||
         Cause.category() == boost::asio::error::get_misc_category();
}

ErrorCode codeOf(const error_code &Cause) {
  if (Cause == boost::beast::error::timeout)
    return ErrorCode::TimedOut;
  if (Cause == boost::asio::error::operation_aborted)
    return ErrorCode::Cancelled;
  if (Cause == beast_http::error::body_limit ||
      Cause == beast_http::error::header_limit ||
      Cause == beast_http::error::buffer_overflow)
    return ErrorCode::TooLarge;
  return isLoss(Cause) ? ErrorCode::ConnectionLost : ErrorCode::Malformed;
}

} // namespace

ClientStream::ClientStream(boost::asio::any_io_executor Executor,
                           std::string Address, ConnectionOptions Options)
    : m_Executor(std::move(Executor)), m_Address(std::move(Address)),
      m_Options(Options), m_Buffer(Options.MaxHeaderBytes + ReadAheadBytes) {}

bool ClientStream::isOpen() const {
  if (!m_Stream || !m_Stream->socket().is_open())
    return false;
  return m_Busy || isQuiet(m_Stream->socket().native_handle());
}

Error ClientStream::describe(const error_code &Cause) const {
  return {.Code = codeOf(Cause), .Message = m_Address + ": " + Cause.message()};
}

Error ClientStream::notConnected(const std::string &Why) const {
  return {.Code = ErrorCode::NotConnected, .Message = m_Address + ": " + Why};
}

awaitable<Result<void>> ClientStream::connect(TimePoint Deadline) {
  CARAWAYPOND_INVARIANT(!m_Busy, "connect() during another call");
  close();
  auto Endpoint = parseEndpoint(m_Address);
  if (!Endpoint)
    co_return failure(Endpoint.error().Code, Endpoint.error().Message);
  ExchangeGuard Guard(*this, m_Busy);
  m_Stream.emplace(m_Executor);
  m_Stream->expires_at(Deadline);
  auto [Failed] = co_await m_Stream->async_connect(Endpoint.value(), AsTuple);
  if (!Failed)
    m_Stream->socket().set_option(boost::asio::ip::tcp::no_delay(true), Failed);
  if (Failed)
    co_return boost::outcome_v2::failure(
        notConnected("can't connect: " + Failed.message()));
  Guard.complete();
  co_return success();
}

awaitable<Result<Response>> ClientStream::roundTrip(Request Asked,
                                                    TimePoint Deadline) {
  CARAWAYPOND_INVARIANT(!m_Busy, "roundTrip() during another call");
  if (!isWellFormed(Asked))
    co_return failure(ErrorCode::InvalidInput,
                      "the request's method, path, query or headers hold "
                      "characters that HTTP does not allow");
  bool WasOpen = isOpen();
  ExchangeGuard Guard(*this, m_Busy);
  if (!WasOpen)
    co_return boost::outcome_v2::failure(notConnected("connection is closed"));
  if (Deadline <= monotonicNow())
    co_return boost::outcome_v2::failure(
        notConnected("the deadline had passed before the request was sent"));
  m_Stream->expires_at(Deadline);
  bool IsHead = Asked.Method == "HEAD";
  BeastRequest Message = toBeast(std::move(Asked), m_Address);
  auto Written = co_await write(std::move(Message));
  if (!Written)
    co_return boost::outcome_v2::failure(Written.error());
  auto Answer = co_await readAnswer(IsHead);
  if (Answer)
    Guard.complete();
  co_return Answer;
}

awaitable<Result<void>> ClientStream::write(BeastRequest Message) {
  auto [Failed, Bytes] =
      co_await beast_http::async_write(*m_Stream, Message, AsTuple);
  if (!Failed)
    co_return success();
  if (Bytes == 0)
    co_return boost::outcome_v2::failure(
        notConnected("nothing was sent: " + Failed.message()));
  co_return boost::outcome_v2::failure(describe(Failed));
}

awaitable<Result<Response>> ClientStream::readAnswer(bool IsHead) {
  for (int I = 0; I < MaxInterimAnswers; ++I) {
    auto Answer = co_await readMessage(IsHead);
    if (!Answer || isFinal(Answer.value().Status))
      co_return Answer;
  }
  co_return failure(ErrorCode::Malformed,
                    m_Address + ": too many interim answers");
}

awaitable<Result<Response>> ClientStream::readMessage(bool IsHead) {
  // Declared before the parser, which refers to it.
  ChunkLimit Chunks(monotonicNow());
  Parser Incoming;
  Incoming.on_chunk_header(Chunks);
  Incoming.skip(IsHead);
  Incoming.header_limit(static_cast<std::uint32_t>(m_Options.MaxHeaderBytes));
  Incoming.body_limit(m_Options.MaxBodyBytes);
  auto [HeaderFailed, HeaderBytes] = co_await beast_http::async_read_header(
      *m_Stream, m_Buffer, Incoming, AsTuple);
  if (HeaderFailed)
    co_return boost::outcome_v2::failure(describe(HeaderFailed));
  unsigned Status = Incoming.get().result_int();
  bool IsFinal = isFinal(Status);
  if (!IsFinal && !isInterim(Status))
    co_return failure(ErrorCode::Malformed,
                      m_Address + ": the answer has an invalid status");
  if (IsFinal && !IsHead && !statesLength(Incoming))
    co_return failure(ErrorCode::Malformed,
                      m_Address + ": the answer does not state its length");
  auto [BodyFailed, BodyBytes] =
      co_await beast_http::async_read(*m_Stream, m_Buffer, Incoming, AsTuple);
  if (BodyFailed)
    co_return boost::outcome_v2::failure(describe(BodyFailed));
  bool KeepAlive = Incoming.keep_alive() && m_Buffer.size() == 0;
  if (IsFinal && !KeepAlive)
    close();
  co_return fromBeast(Incoming.release());
}

void ClientStream::close() {
  if (m_Stream)
    m_Stream->close();
  m_Buffer.clear();
}

} // namespace carawaypond::http::internal

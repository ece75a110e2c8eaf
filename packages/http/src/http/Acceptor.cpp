#include "http/Acceptor.h"

#include "http/Endpoint.h"
#include "http/ErrorResponse.h"
#include "http/Session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <sys/socket.h>

namespace carawaypond::http::internal {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr Milliseconds MinSweepInterval{5};
constexpr Milliseconds MaxSweepInterval{250};
constexpr int SweepsPerTimeout = 8;
/// Delay after a failed accept, which usually means that the process has no
/// file descriptors left.
constexpr Milliseconds AcceptPause{50};

auto cannotListen(const std::string &Address, const std::string &Why) {
  return failure(ErrorCode::Unavailable,
                 "can't listen on " + Address + ": " + Why);
}

error_code sharePort(tcp::acceptor &Socket) {
  int Enabled = 1;
  int Status = ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_REUSEPORT,
                            &Enabled, sizeof Enabled);
  if (Status == 0)
    return {};
  return {errno, boost::system::system_category()};
}

/// @brief Runs @p Served and keeps it alive until it ends.
awaitable<void> runSession(std::shared_ptr<Session> Served) {
  co_await Served->run();
}

std::string refusalText() {
  Response Answer = errorResponse(503, "not_run", "too_many_connections",
                                  "the limit of connections is reached");
  return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
         "Content-Type: " +
         Answer.ContentType +
         "\r\nContent-Length: " + std::to_string(Answer.Body.size()) +
         "\r\n\r\n" + Answer.Body;
}

} // namespace

Acceptor::Acceptor(boost::asio::io_context &Context, ListenerOptions Options,
                   Handler Handle)
    : m_Context(Context), m_Socket(Context), m_SweepTimer(Context),
      m_Sessions(std::make_shared<SessionTable>(std::move(Options),
                                                std::move(Handle))) {}

Result<void> Acceptor::bind() {
  const ListenerOptions &Options = m_Sessions->options();
  Result<tcp::endpoint> Endpoint = parseEndpoint(Options.Address);
  if (!Endpoint)
    return failure(Endpoint.error().Code, Endpoint.error().Message);
  error_code Failed;
  m_Socket.open(Endpoint.value().protocol(), Failed);
  if (!Failed)
    m_Socket.set_option(tcp::acceptor::reuse_address(true), Failed);
  if (!Failed && Options.ReusePort)
    Failed = sharePort(m_Socket);
  if (!Failed)
    m_Socket.bind(Endpoint.value(), Failed);
  if (!Failed)
    m_Socket.listen(boost::asio::socket_base::max_listen_connections, Failed);
  if (!Failed)
    m_Socket.non_blocking(true, Failed);
  if (Failed)
    return cannotListen(Options.Address, Failed.message());
  m_Address = formatEndpoint(m_Socket.local_endpoint());
  return success();
}

void Acceptor::start() {
  auto Self = shared_from_this();
  boost::asio::co_spawn(
      m_Context,
      [](std::shared_ptr<Acceptor> Kept) -> awaitable<void> {
        co_await Kept->acceptLoop();
      }(Self),
      boost::asio::detached);
  boost::asio::co_spawn(
      m_Context,
      [](std::shared_ptr<Acceptor> Kept) -> awaitable<void> {
        co_await Kept->sweepLoop();
      }(Self),
      boost::asio::detached);
}

awaitable<void> Acceptor::acceptLoop() {
  boost::asio::steady_timer Pause(m_Context);
  while (m_Socket.is_open()) {
    auto [Failed, Socket] = co_await m_Socket.async_accept(AsTuple);
    if (!Failed) {
      take(std::move(Socket));
      continue;
    }
    if (Failed == boost::asio::error::operation_aborted)
      continue;
    Pause.expires_after(AcceptPause);
    co_await Pause.async_wait(AsTuple);
  }
}

Milliseconds Acceptor::sweepInterval() const {
  const ListenerOptions &Options = m_Sessions->options();
  Milliseconds Shortest = std::min({Options.HeaderTimeout, Options.IdleTimeout,
                                    Options.BodyTimeout, Options.WriteTimeout});
  return std::clamp(Shortest / SweepsPerTimeout, MinSweepInterval,
                    MaxSweepInterval);
}

awaitable<void> Acceptor::sweepLoop() {
  while (m_Socket.is_open() || !m_Sessions->isEmpty()) {
    m_SweepTimer.expires_after(sweepInterval());
    co_await m_SweepTimer.async_wait(AsTuple);
    m_Sessions->expire(monotonicNow());
  }
}

void Acceptor::stopAccepting() {
  if (!m_Socket.is_open())
    return;
  acceptPendingConnections();
  error_code Ignored;
  m_Socket.close(Ignored);
  m_SweepTimer.cancel();
}

void Acceptor::acceptPendingConnections() {
  error_code Failed;
  while (!Failed) {
    tcp::socket Socket(m_Context);
    m_Socket.accept(Socket, Failed);
    if (!Failed)
      take(std::move(Socket));
  }
}

void Acceptor::take(tcp::socket Socket) {
  error_code Failed;
  tcp::endpoint Remote = Socket.remote_endpoint(Failed);
  if (Failed)
    return;
  if (!m_Sessions->hasRoomFor(Remote.address().to_string()))
    return refuse(std::move(Socket));
  Socket.set_option(tcp::no_delay(true), Failed);
  auto Served =
      std::make_shared<Session>(m_Sessions, std::move(Socket), Remote);
  boost::asio::co_spawn(m_Context, runSession(std::move(Served)),
                        boost::asio::detached);
}

void Acceptor::refuse(tcp::socket Socket) {
  static const std::string Text = refusalText();
  ++m_Sessions->counters().Refused;
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.write_some(boost::asio::buffer(Text), Ignored);
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
}

void Acceptor::abort() {
  error_code Ignored;
  m_Socket.close(Ignored);
  m_Sessions->abort();
  m_SweepTimer.cancel();
}

} // namespace carawaypond::http::internal

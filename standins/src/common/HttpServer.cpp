#include "common/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace carawaypond::standins {

namespace asio = boost::asio;
using SystemError = boost::system::error_code;

HttpServer::HttpServer(asio::io_context &Io, HttpServerOptions Options,
                       HttpHandler Handler)
    : m_Io(Io), m_Options(std::move(Options)), m_Handler(std::move(Handler)) {}

Result<void> HttpServer::start() {
  if (m_Acceptor)
    return success();
  SystemError Failure;
  asio::ip::tcp::endpoint Where(
      asio::ip::make_address(m_Options.Address, Failure), m_Options.Port);
  auto Opened = std::make_shared<Acceptor>(m_Io);
  if (!Failure)
    Opened->open(Where.protocol(), Failure);
  if (!Failure)
    Opened->set_option(Acceptor::reuse_address(true), Failure);
  if (!Failure)
    Opened->bind(Where, Failure);
  if (!Failure)
    Opened->listen(Acceptor::max_listen_connections, Failure);
  if (Failure)
    return failure(ErrorCode::Unavailable, "cannot listen on " +
                                               m_Options.Address + ":" +
                                               std::to_string(m_Options.Port) +
                                               ": " + Failure.message());
  m_Options.Port = Opened->local_endpoint().port();
  m_Acceptor = Opened;
  asio::co_spawn(m_Io, acceptLoop(std::move(Opened)), asio::detached);
  return success();
}

void HttpServer::stop() {
  if (m_Acceptor) {
    SystemError Ignored;
    m_Acceptor->close(Ignored);
    m_Acceptor.reset();
  }
  std::vector<std::shared_ptr<HttpSession>> Sessions;
  for (const auto &[Key, Session] : m_Sessions)
    Sessions.push_back(Session);
  for (const std::shared_ptr<HttpSession> &Session : Sessions)
    Session->close();
}

asio::awaitable<void> HttpServer::acceptLoop(std::shared_ptr<Acceptor> From) {
  while (From->is_open()) {
    SystemError Failure;
    asio::ip::tcp::socket Socket = co_await From->async_accept(
        asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure == asio::error::operation_aborted)
      co_return;
    if (!Failure)
      serve(std::move(Socket));
  }
}

void HttpServer::serve(asio::ip::tcp::socket Socket) {
  if (m_Sessions.size() >= m_Options.MaxConnections) {
    ++m_Refused;
    return;
  }
  ++m_Accepted;
  auto Session =
      std::make_shared<HttpSession>(std::move(Socket), m_Options, m_Handler);
  HttpSession *Key = Session.get();
  m_Sessions.emplace(Key, Session);
  m_MaxOpen = std::max(m_MaxOpen, m_Sessions.size());
  asio::co_spawn(m_Io, Session->run(),
                 [this, Session](std::exception_ptr) { // NOLINT
                   Session->close();
                   m_Sessions.erase(Session.get());
                 });
}

} // namespace carawaypond::standins

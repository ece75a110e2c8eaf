#pragma once

#include "common/CallWatch.h"
#include "common/HttpReply.h"
#include "common/HttpRequest.h"
#include "common/HttpServerOptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace carawaypond::standins {

/// @brief Answers one request; runs on the server's only thread.
using HttpHandler =
    std::function<boost::asio::awaitable<HttpReply>(HttpRequest, CallWatch &)>;

/// @brief One connection: passes its requests to the handler one after another.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(boost::asio::ip::tcp::socket Socket,
              const HttpServerOptions &Options, const HttpHandler &Handler);

  /// @brief Serves requests until either side closes the connection.
  boost::asio::awaitable<void> run();
  /// @brief Closes the connection and notifies a running handler.
  void close();

private:
  struct Reader;

  boost::asio::awaitable<bool> serveOne(Reader &Input);
  boost::asio::awaitable<bool> send(const HttpReply &Reply, bool KeepAlive);
  boost::asio::awaitable<void> sendTruncated(const HttpReply &Reply);
  boost::asio::awaitable<void> waitForClose();
  void watchForClose();
  void onReadable();

  boost::asio::ip::tcp::socket m_Socket;
  const HttpServerOptions &m_Options;
  const HttpHandler &m_Handler;
  CallWatch m_Watch;
};

} // namespace carawaypond::standins

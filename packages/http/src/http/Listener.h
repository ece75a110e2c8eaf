#pragma once

#include "core/outcome/Result.h"
#include "http/ListenerOptions.h"
#include "http/ListenerStats.h"
#include "http/Message.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace carawaypond::http {

namespace internal {
class Acceptor;
} // namespace internal

/// @brief Handles one request. If it throws, the caller gets status 500 with
/// outcome "unknown".
using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

/// @brief Serves HTTP/1.1 with keep-alive on one address.
///
/// The io_context must be run by one thread only, and every member function
/// must be called on it (or while it does not run). Requests that break a
/// limit get 400, 408, 413, 431 or 503 with outcome "not_run". Objects
/// that the handler refers to must outlive the io_context's last handler.
///
/// A graceful stop: setDraining(true), wait until callers use other addresses,
/// stopAccepting(), closeIdle(), then wait until stats().Open is 0.
class Listener {
public:
  /// @brief Binds and starts to accept.
  /// @return The listener; InvalidInput for an address that can't be parsed,
  /// Unavailable when it can't be bound.
  static Result<std::unique_ptr<Listener>>
  open(boost::asio::io_context &Context, ListenerOptions Options,
       Handler Handle);

  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;
  /// @brief Closes the socket and all connections immediately, also those with
  /// requests in flight.
  ~Listener();

  /// @return "ip:port" with the port that was bound.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] ListenerStats stats() const;

  /// @brief Accepts the connections that are already in the system's backlog,
  /// then closes the listening socket; existing connections stay open.
  void stopAccepting();

  /// @brief Closes each connection as soon as no request is in flight on it;
  /// responses carry "Connection: close".
  ///
  /// A request of which one byte has arrived, even if still unread in the
  /// socket or pipelined behind another, is served. The socket is only watched
  /// while idle, never read, so no bytes can have left the socket without
  /// being noticed here. A request that is on the wire while the connection
  /// closes gets an unsolicited 408 with outcome "not_run", which is written
  /// before the close.
  void closeIdle();

  /// @brief Changes the limits for requests that have not begun to arrive; the
  /// address and the limits on connections stay unchanged.
  void setLimits(const ListenerOptions &Limits);

  /// @brief While draining, each response carries "Connection: close", unless
  /// the next request has begun to arrive.
  void setDraining(bool Draining);

private:
  explicit Listener(std::shared_ptr<internal::Acceptor> Impl);

  std::shared_ptr<internal::Acceptor> m_Impl;
};

} // namespace carawaypond::http

#pragma once

#include "core/time/Time.h"
#include "http/BoundedReader.h"
#include "http/CallerConnection.h"
#include "http/MemoryReservation.h"
#include "http/Message.h"
#include "http/SessionTable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>

namespace carawaypond::http::internal {

/// @brief One accepted connection: reads requests, calls the handler, writes
/// the responses.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<SessionTable> Table,
          boost::asio::ip::tcp::socket Socket,
          const boost::asio::ip::tcp::endpoint &Remote);
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;
  ~Session();

  [[nodiscard]] const std::string &remoteIp() const { return m_RemoteIp; }

  /// @brief Serves requests until the connection ends.
  boost::asio::awaitable<void> run();
  /// @brief Cancels the current wait if its deadline has passed at @p Now.
  void expire(TimePoint Now);
  /// @brief Closes now if idle, else after the request in flight.
  void closeWhenIdle();
  /// @brief Closes the socket immediately.
  void abort();

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  [[nodiscard]] bool hasUnreadBytes() const;
  /// @return Whether the connection is to be closed and no byte of a further
  /// request has arrived.
  [[nodiscard]] bool mustClose() const;

  void waitAtMost(Milliseconds Timeout);
  void waitForever();
  boost::asio::awaitable<bool> awaitRequest();
  boost::asio::awaitable<bool> serveRequest();
  /// @param Held Grows with the request.
  boost::asio::awaitable<boost::system::error_code>
  readRequest(Parser &Into, MemoryReservation &Held);
  /// @brief Reads some of what has arrived, or waits for it. Lets other
  /// connections have their turn once this one had its own.
  boost::asio::awaitable<boost::system::error_code>
  readMore(Parser &Into, MemoryReservation &Held);
  /// @return The memory that a request uses so far.
  [[nodiscard]] std::size_t requestBytes(const Parser &Read) const;
  /// @brief Frees a buffer that a long request left behind.
  void shrinkBuffer();
  boost::asio::awaitable<void> sendContinue(const Parser &Headers);
  boost::asio::awaitable<bool> reject(boost::system::error_code Cause);
  boost::asio::awaitable<Response> callHandler(Request Asked);
  void watchCaller(const std::shared_ptr<CallerConnection> &Caller);
  void stopWatchingCaller();
  boost::asio::awaitable<bool> write(Response Answer, bool KeepAlive,
                                     bool IsHead);
  boost::asio::awaitable<void> announceClose();
  boost::asio::awaitable<void> shutDown();

  std::shared_ptr<SessionTable> m_Table;
  boost::asio::ip::tcp::socket m_Socket;
  std::string m_RemoteIp;
  std::string m_RemoteAddress;
  boost::beast::flat_buffer m_Buffer;
  BoundedReader m_Reader;
  TimePoint m_Due = TimePoint::max(); ///< Deadline of the current wait.
  std::shared_ptr<CallerConnection> m_Watched;
  bool m_IsCallerWaitPending = false; ///< See watchCaller().
  bool m_Expired = false;
  bool m_IsOverWork = false; ///< See ListenerStats::OverWork.
  bool m_Idle = false;
  bool m_CloseWhenIdle = false;
};

} // namespace carawaypond::http::internal

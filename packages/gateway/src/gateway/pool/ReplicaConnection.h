#pragma once

#include "adapter/ReplyCodec.h"
#include "core/id/Ids.h"
#include "core/time/Time.h"
#include "gateway/pool/Exchange.h"
#include "gateway/pool/PoolOptions.h"
#include "gateway/pool/RecentIds.h"
#include "http/BoundedReader.h"
#include "http/MemoryReservation.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace carawaypond::gateway {

/// @brief A connection to a replica, for one request at a time. Used only by
/// the thread that runs the io_context.
class ReplicaConnection
    : public std::enable_shared_from_this<ReplicaConnection> {
public:
  ReplicaConnection(boost::asio::io_context &Context, ConnectionNumber Number,
                    boost::asio::ip::tcp::endpoint Remote,
                    const PoolOptions &Options,
                    std::shared_ptr<http::MemoryBudget> Memory);

  /// @return Whether another request may be sent on it.
  /// @param IsIdempotent Whether that request may be repeated if the replica
  /// closes the connection at the same moment.
  [[nodiscard]] bool isReusable(bool IsIdempotent, TimePoint Now);
  /// @return Whether it has carried a request with this id, so that another one
  /// with it must go out elsewhere.
  [[nodiscard]] bool hasCarried(std::string_view RequestId) const {
    return m_Carried.contains(RequestId);
  }
  [[nodiscard]] bool isBusy() const { return m_Current.has_value(); }
  /// @return Whether its request waits for the connect, so that no byte of it
  /// was sent.
  [[nodiscard]] bool isConnecting() const {
    return m_Current && !m_IsConnected;
  }

  /// @brief Sends a request, after connecting if necessary.
  void start(Exchange Request);
  /// @brief Closes at once; the current request fails as not sent.
  void failUnsent(const std::string &Why) { fail(false, Why); }
  /// @brief Closes at once; the current request's Done is not called.
  void cancel();

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect();
  void write();
  void beginAnswer();
  /// @brief Waits until there is something to read. No operation refers to the
  /// buffer meanwhile, so that drop() can free it.
  void awaitBytes();
  /// @brief Reads for one turn; what is left waits behind other connections.
  void read();
  void onAnswer();
  /// @return Whether the head of the answer holds no status of HTTP, so that
  /// what follows can't be told.
  [[nodiscard]] bool hasInvalidStatus() const;
  /// @return The memory that the answer uses so far.
  [[nodiscard]] std::size_t answerBytes();
  [[nodiscard]] std::unique_ptr<http::MemoryReservation> makeReservation();
  /// @brief Frees the answer that is being read, as its memory is needed for
  /// smaller ones; the current request fails soon after.
  void drop();
  /// @brief Ends the current request unsent; the connection stays usable.
  void withdraw();
  void fail(bool WasSent, const std::string &Why);
  /// @brief Ends the current request, whose answer could not be read.
  void failRead(const boost::system::error_code &Cause);
  /// @brief Ends the current request, whose answer costs too much work.
  void failOverWork();
  void fail(ExchangeFailure How);
  void succeed(adapter::ReplicaReply Reply);
  /// @brief Passes the reservation of the answer on to @p Reply, and frees what
  /// else the answer needed.
  void passOnReservation(adapter::ReplicaReply &Reply);
  void close();

  ConnectionNumber m_Number;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_ConnectTimer;
  boost::asio::ip::tcp::endpoint m_Remote;
  PoolOptions m_Options;
  boost::beast::flat_buffer m_Buffer;
  /// Declared before the parser, which refers to it.
  http::BoundedReader m_Reader;
  std::optional<Parser> m_Parser;
  std::shared_ptr<http::MemoryBudget> m_Memory;
  /// Memory of the answer that is being read.
  std::unique_ptr<http::MemoryReservation> m_Reservation;
  bool m_IsDropped = false;
  RecentIds m_Carried;
  std::optional<Exchange> m_Current;
  /// Number of the current request; callbacks of earlier ones are ignored.
  std::uint64_t m_Serial = 0;
  /// Interim answers, and answers to other requests, since the request began.
  unsigned m_SkippedAnswers = 0;
  bool m_IsConnected = false;
  bool m_IsWritten = false;
  bool m_IsReusable = true;
  TimePoint m_IdleSince;
  std::optional<Milliseconds> m_IdleTimeout;
};

} // namespace carawaypond::gateway

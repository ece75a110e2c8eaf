#pragma once

#include "core/time/Time.h"
#include "gateway/pool/Exchange.h"
#include "gateway/pool/PoolOptions.h"
#include "gateway/pool/ReplicaConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace carawaypond::gateway {

/// @brief Connection pool of one replica.
class ReplicaPool {
public:
  using Ticket = std::uint64_t; ///< Identifies a request within the pool.

  ReplicaPool(boost::asio::io_context &Context,
              boost::asio::ip::tcp::endpoint Remote, PoolOptions Options,
              std::shared_ptr<http::MemoryBudget> Memory);
  ReplicaPool(const ReplicaPool &) = delete;
  ReplicaPool &operator=(const ReplicaPool &) = delete;
  ~ReplicaPool();

  [[nodiscard]] std::size_t connections() const { return m_Open.size(); }
  [[nodiscard]] std::uint64_t opened() const { return m_Opened; }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint &remote() const {
    return m_Remote;
  }

  /// @brief Sets the maximum number of open connections.
  void setLimit(std::size_t Limit) { m_Limit = Limit; }
  /// @brief Sends @p Request on an idle or a new connection, or queues it until
  /// one is free.
  Ticket send(Exchange Request);
  /// @brief Cancels a request; its Done is not called.
  /// @return False if it was still queued; otherwise the replica may run it.
  bool cancel(Ticket Which);
  /// @brief Withdraws the queued requests that are no longer to be sent, soon
  /// after the call.
  void recheckQueue();
  /// @brief Retires the pool of a replica that is leaving or was removed:
  /// requests of which nothing was sent fail as not sent, the others continue.
  void retire();
  [[nodiscard]] bool isRetired() const { return m_IsRetired; }
  /// @brief Notes an answer that cost too much work.
  /// @return Whether it is to be logged: one in OverWorkLogInterval is.
  [[nodiscard]] bool noteOverWork(TimePoint Now);
  /// @brief Closes idle connections that can no longer be reused.
  void closeExpired(TimePoint Now);

private:
  struct Slot {
    std::shared_ptr<ReplicaConnection> Connection;
    Ticket Current = 0;
  };
  struct Waiting {
    Ticket Id = 0;
    Exchange Request;
  };

  /// @return An idle or a new connection that may carry @p For; null if it must
  /// wait.
  [[nodiscard]] std::shared_ptr<ReplicaConnection> acquire(const Exchange &For);
  /// @brief Closes the idle connections that can no longer be reused, up to the
  /// first one that may carry @p For.
  /// @return That connection, or null.
  [[nodiscard]] std::shared_ptr<ReplicaConnection>
  takeIdle(const Exchange &For);
  /// @brief Closes one idle connection, if there is one.
  void closeOneIdle();
  void start(const std::shared_ptr<ReplicaConnection> &On, Ticket Id,
             Exchange Request);
  void onDone(Ticket Id);
  void startWaiting();
  void withdrawUnwanted();
  /// @brief Fails the requests that have not been sent.
  void failUnsentRequests();

  boost::asio::io_context &m_Context;
  boost::asio::ip::tcp::endpoint m_Remote;
  PoolOptions m_Options;
  std::shared_ptr<http::MemoryBudget> m_Memory;
  std::size_t m_Limit = 1;
  std::vector<Slot> m_Open;
  std::deque<Waiting> m_Waiting;
  Ticket m_NextTicket = 1;
  std::uint64_t m_Opened = 0;
  bool m_IsRetired = false;
  std::optional<TimePoint> m_OverWorkLoggedAt;
  /// False once the pool is destroyed; callbacks check it.
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace carawaypond::gateway

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
#include <vector>

namespace carawaypond::gateway {

/// @brief The connections to one replica.
class ReplicaPool {
public:
  using Ticket = std::uint64_t; ///< Names a request; unique in the pool.

  ReplicaPool(boost::asio::io_context &Context,
              boost::asio::ip::tcp::endpoint Remote, PoolOptions Options,
              std::shared_ptr<ReplyMemory> Memory);
  ReplicaPool(const ReplicaPool &) = delete;
  ReplicaPool &operator=(const ReplicaPool &) = delete;
  ~ReplicaPool();

  [[nodiscard]] std::size_t connections() const { return m_Open.size(); }
  [[nodiscard]] std::uint64_t opened() const { return m_Opened; }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint &remote() const {
    return m_Remote;
  }

  /// @brief Sets how many connections may be open at once.
  void setLimit(std::size_t Limit) { m_Limit = Limit; }
  /// @brief Sends @p Request on a kept or a new connection, or as soon as one
  /// is free.
  Ticket send(Exchange Request);
  /// @brief Gives up a request; its Done is not called.
  /// @return Whether it had been sent, so that it may run.
  bool cancel(Ticket Which);
  /// @brief The replica leaves or is gone: requests of which nothing was sent
  /// are given back, those that it works on go on.
  void retire();
  [[nodiscard]] bool isRetired() const { return m_IsRetired; }
  /// @brief Closes connections that have been idle too long.
  void closeStale(TimePoint Now);

private:
  struct Slot {
    std::shared_ptr<ReplicaConnection> Connection;
    Ticket Current = 0;
  };
  struct Waiting {
    Ticket Id = 0;
    Exchange Request;
  };

  [[nodiscard]] std::shared_ptr<ReplicaConnection> acquire(bool IsIdempotent);
  void start(const std::shared_ptr<ReplicaConnection> &On, Ticket Id,
             Exchange Request);
  void onDone(Ticket Id);
  void startWaiting();
  /// @brief Gives back what has not been sent.
  void giveBackUnsent();

  boost::asio::io_context &m_Context;
  boost::asio::ip::tcp::endpoint m_Remote;
  PoolOptions m_Options;
  std::shared_ptr<ReplyMemory> m_Memory;
  std::size_t m_Limit = 1;
  std::vector<Slot> m_Open;
  std::deque<Waiting> m_Waiting;
  Ticket m_NextTicket = 1;
  std::uint64_t m_Opened = 0;
  bool m_IsRetired = false;
  /// Lets callbacks notice that the pool is gone.
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace carawaypond::gateway

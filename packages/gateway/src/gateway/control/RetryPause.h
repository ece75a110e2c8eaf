#pragma once

#include "core/time/Time.h"
#include "gateway/control/FollowOptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace carawaypond::gateway {

/// @brief Waits between calls; longer after each failure in a row.
class RetryPause {
public:
  RetryPause(boost::asio::io_context &Context, const FollowOptions &Options);

  /// @brief The last call succeeded.
  void reset() { m_Next = m_Options.FirstRetry; }
  /// @brief Waits after a failure, for a random part of the current pause.
  boost::asio::awaitable<void> afterFailure();
  /// @brief Waits for @p Time.
  boost::asio::awaitable<void> wait(Milliseconds Time);

private:
  FollowOptions m_Options;
  boost::asio::steady_timer m_Timer;
  Milliseconds m_Next;
};

} // namespace carawaypond::gateway

#pragma once

#include "core/time/Time.h"
#include "gateway/control/FollowOptions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace carawaypond::gateway {

/// @brief Waits between calls, with exponential backoff after failures.
class RetryPause {
public:
  RetryPause(boost::asio::io_context &Context, const FollowOptions &Options);

  /// @brief Resets the backoff after a successful call.
  void reset() { m_Next = m_Options.FirstRetry; }
  /// @brief Waits for the current backoff with jitter, then doubles it.
  boost::asio::awaitable<void> afterFailure();
  boost::asio::awaitable<void> wait(Milliseconds Time);

private:
  FollowOptions m_Options;
  boost::asio::steady_timer m_Timer;
  Milliseconds m_Next;
};

} // namespace carawaypond::gateway

#pragma once

#include "core/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace carawaypond::gateway {

/// @brief Condition variable for the coroutines of one thread: wakes all
/// waiters on a change.
class ChangeSignal {
public:
  /// @brief Suspends until notify() is called or @p Deadline passes.
  boost::asio::awaitable<void> wait(boost::asio::io_context &Context,
                                    TimePoint Deadline);
  /// @brief Wakes all waiters.
  void notify();

private:
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_Waiting;
};

} // namespace carawaypond::gateway

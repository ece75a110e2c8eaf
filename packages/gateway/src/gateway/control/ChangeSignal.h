#pragma once

#include "core/time/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace carawaypond::gateway {

/// @brief Wakes coroutines of one thread when something has changed.
class ChangeSignal {
public:
  /// @brief Waits until notify() or @p Deadline.
  boost::asio::awaitable<void> wait(boost::asio::io_context &Context,
                                    TimePoint Deadline);
  /// @brief Wakes all who wait.
  void notify();

private:
  std::vector<std::shared_ptr<boost::asio::steady_timer>> m_Waiting;
};

} // namespace carawaypond::gateway

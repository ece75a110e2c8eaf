#pragma once

#include "core/time/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_set>

namespace carawaypond::standins {

/// @brief A condition variable for coroutines.
class Signal {
public:
  using Timer = boost::asio::steady_timer;

  /// @brief Suspends until notify(), @p Deadline or the cancellation of
  /// @p Waiting, whichever comes first.
  boost::asio::awaitable<void> wait(Timer &Waiting, TimePoint Deadline);
  /// @brief Wakes all coroutines that are waiting.
  void notify();

private:
  std::unordered_set<Timer *> m_Waiting;
};

} // namespace carawaypond::standins

#pragma once

#include "core/time/Time.h"

#include <boost/asio/awaitable.hpp>

namespace carawaypond::standins {

/// @brief Suspends the calling coroutine for @p Time.
boost::asio::awaitable<void> sleepFor(Duration Time);

} // namespace carawaypond::standins

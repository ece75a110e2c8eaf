#include "common/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carawaypond::standins {

boost::asio::awaitable<void> sleepFor(Duration Time) {
  auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Timer(Executor, Time);
  boost::system::error_code Ignored;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
}

} // namespace carawaypond::standins

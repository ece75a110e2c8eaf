#include "gateway/control/RetryPause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace carawaypond::gateway {

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// @return A random time between half of @p Time and @p Time (jitter).
Milliseconds withJitter(Milliseconds Time) {
  static thread_local std::minstd_rand Source{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> Any(Time.count() / 2,
                                                  Time.count());
  return Milliseconds(Any(Source));
}

} // namespace

RetryPause::RetryPause(boost::asio::io_context &Context,
                       const FollowOptions &Options)
    : m_Options(Options), m_Timer(Context), m_Next(Options.FirstRetry) {}

boost::asio::awaitable<void> RetryPause::afterFailure() {
  Milliseconds Pause = withJitter(m_Next);
  m_Next = std::min(m_Next * 2, m_Options.MaxRetry);
  co_await wait(Pause);
}

boost::asio::awaitable<void> RetryPause::wait(Milliseconds Time) {
  m_Timer.expires_after(Time);
  co_await m_Timer.async_wait(AsTuple);
}

} // namespace carawaypond::gateway

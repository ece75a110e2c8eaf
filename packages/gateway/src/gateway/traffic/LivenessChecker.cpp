#include "gateway/traffic/LivenessChecker.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace carawaypond::gateway {

using boost::asio::ip::tcp;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// A process that ends closes its connections and its listener one by one.
constexpr Milliseconds Delay{20};
constexpr Milliseconds ConnectTimeout{300};
constexpr std::size_t MaxRunning = 64;

struct Check {
  tcp::socket Socket;
  boost::asio::steady_timer Timer;
  LivenessChecker::OnEnded Ended;
};

boost::asio::awaitable<void> run(std::shared_ptr<Check> Made,
                                 tcp::endpoint Remote) {
  Made->Timer.expires_after(Delay);
  co_await Made->Timer.async_wait(AsTuple);
  // Ends a connect that nothing answers; the replica's state is not known then.
  Made->Timer.expires_after(ConnectTimeout);
  Made->Timer.async_wait([Made](boost::system::error_code Stopped) {
    boost::system::error_code Ignored;
    if (!Stopped)
      Made->Socket.close(Ignored);
  });
  auto [Failed] = co_await Made->Socket.async_connect(Remote, AsTuple);
  Made->Timer.cancel();
  if (Failed == boost::asio::error::connection_refused)
    Made->Ended();
}

} // namespace

void LivenessChecker::check(const tcp::endpoint &Remote, OnEnded Ended) {
  if (*m_Running >= MaxRunning)
    return;
  ++*m_Running;
  auto Made = std::make_shared<Check>(
      Check{.Socket = tcp::socket(m_Context),
            .Timer = boost::asio::steady_timer(m_Context),
            .Ended = std::move(Ended)});
  boost::asio::co_spawn(
      m_Context, run(std::move(Made), Remote),
      [Running = m_Running](const std::exception_ptr &) { --*Running; });
}

} // namespace carawaypond::gateway

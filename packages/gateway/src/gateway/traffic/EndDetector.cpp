#include "gateway/traffic/EndDetector.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carawaypond::gateway {

using boost::asio::ip::tcp;

namespace {

constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// A process that ends closes its connections and its listener one by one.
constexpr Milliseconds Delay{20};
constexpr Milliseconds ConnectTimeout{300};
constexpr std::size_t MaxRunning = 64;

boost::asio::awaitable<void> run(tcp::socket &Socket, tcp::endpoint Remote,
                                 boost::asio::steady_timer &Timer,
                                 EndDetector::OnEnded &Ended) {
  Timer.expires_after(Delay);
  co_await Timer.async_wait(AsTuple);
  // Ends a connect that nothing answers; the replica's state is not known then.
  Timer.expires_after(ConnectTimeout);
  Timer.async_wait([&Socket](boost::system::error_code Stopped) {
    boost::system::error_code Ignored;
    if (!Stopped)
      Socket.close(Ignored);
  });
  auto [Failed] = co_await Socket.async_connect(Remote, AsTuple);
  Timer.cancel();
  if (Failed == boost::asio::error::connection_refused)
    Ended();
}

} // namespace

void EndDetector::check(const tcp::endpoint &Remote, OnEnded Ended) {
  if (*m_Running >= MaxRunning)
    return;
  ++*m_Running;
  struct Check {
    tcp::socket Socket;
    boost::asio::steady_timer Timer;
    OnEnded Ended;
  };
  auto Made = std::make_shared<Check>(
      Check{.Socket = tcp::socket(m_Context),
            .Timer = boost::asio::steady_timer(m_Context),
            .Ended = std::move(Ended)});
  boost::asio::co_spawn(
      m_Context, run(Made->Socket, Remote, Made->Timer, Made->Ended),
      [Made, Running = m_Running](const std::exception_ptr &) { --*Running; });
}

} // namespace carawaypond::gateway

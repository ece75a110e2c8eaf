#include "gateway/control/ChangeSignal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carawaypond::gateway {

boost::asio::awaitable<void>
ChangeSignal::wait(boost::asio::io_context &Context, TimePoint Deadline) {
  constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Deadline);
  m_Waiting.push_back(Timer);
  co_await Timer->async_wait(AsTuple);
  std::erase(m_Waiting, Timer);
}

void ChangeSignal::notify() {
  for (const auto &Each : std::exchange(m_Waiting, {}))
    Each->cancel();
}

} // namespace carawaypond::gateway

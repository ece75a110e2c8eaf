#include "common/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace carawaypond::standins {

boost::asio::awaitable<void> Signal::wait(Timer &Waiting, TimePoint Deadline) {
  Waiting.expires_at(Deadline);
  m_Waiting.insert(&Waiting);
  boost::system::error_code Ignored;
  co_await Waiting.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Ignored));
  m_Waiting.erase(&Waiting);
}

void Signal::notify() {
  for (Timer *Waiting : m_Waiting)
    Waiting->cancel();
}

} // namespace carawaypond::standins

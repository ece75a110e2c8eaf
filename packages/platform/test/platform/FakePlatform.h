#pragma once

#include "http/Loop.h"
#include "http/Raw.h"

#include "http/Listener.h"

#include <memory>
#include <string>
#include <utility>

namespace carawaypond::platform {

/// @brief A platform that answers each request with the response set last.
class FakePlatform {
public:
  explicit FakePlatform(http::Loop &Io)
      : m_Server(std::move(
            http::Listener::open(Io.context(), {},
                                 [this](http::Request Asked)
                                     -> boost::asio::awaitable<http::Response> {
                                   Last = std::move(Asked);
                                   co_return m_Answer;
                                 })
                .value())) {}

  [[nodiscard]] std::string address() const { return m_Server->address(); }

  void answer(unsigned Status, std::string Body) {
    m_Answer.Status = Status;
    m_Answer.Body = std::move(Body);
  }

  http::Request Last;

private:
  http::Response m_Answer;
  std::unique_ptr<http::Listener> m_Server;
};

} // namespace carawaypond::platform

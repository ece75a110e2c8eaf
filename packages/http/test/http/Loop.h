#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <exception>
#include <functional>

namespace carawaypond::http {

/// @brief An io_context that the test's thread runs.
class Loop {
public:
  [[nodiscard]] boost::asio::io_context &context() { return m_Context; }

  /// @brief Runs @p Body to its end, and rethrows its exception.
  /// @return Whether it ended before the timeout.
  bool run(std::function<boost::asio::awaitable<void>()> Body) {
    bool Done = false;
    std::exception_ptr Thrown;
    boost::asio::co_spawn(m_Context, std::move(Body),
                          [&](std::exception_ptr Error) {
                            Thrown = std::move(Error);
                            Done = true;
                          });
    auto End = std::chrono::steady_clock::now() + Patience;
    m_Context.restart();
    while (!Done && std::chrono::steady_clock::now() < End)
      m_Context.run_one_until(End);
    if (Thrown)
      std::rethrow_exception(Thrown);
    return Done;
  }

private:
  static constexpr std::chrono::seconds Patience{60};

  boost::asio::io_context m_Context;
};

} // namespace carawaypond::http

#pragma once

#include "common/HttpCall.h"
#include "common/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <exception>
#include <functional>
#include <utility>

namespace carawaypond::standins {

inline constexpr std::chrono::seconds TestDeadline{30};
inline constexpr Milliseconds PollPause{1};

/// @brief Runs one coroutine of a test on @p Io until it ends.
inline void runTest(boost::asio::io_context &Io,
                    std::function<boost::asio::awaitable<void>()> Body) {
  bool Ended = false;
  std::exception_ptr Thrown;
  boost::asio::co_spawn(Io, std::move(Body), [&](std::exception_ptr Failure) {
    Ended = true;
    Thrown = std::move(Failure);
    Io.stop();
  });
  Io.run_for(TestDeadline);
  if (Thrown)
    std::rethrow_exception(Thrown);
  REQUIRE(Ended);
}

/// @brief Waits until @p Holds; runTest()'s deadline bounds it.
inline boost::asio::awaitable<void> until(std::function<bool()> Holds) {
  while (!Holds())
    co_await sleepFor(PollPause);
}

/// @brief Parses an answer's body.
inline nlohmann::json bodyOf(const Result<HttpAnswer> &Answer) {
  REQUIRE(Answer);
  return nlohmann::json::parse(Answer.value().Body);
}

} // namespace carawaypond::standins

#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "http/Client.h"
#include "platform/CallCounts.h"
#include "platform/Object.h"
#include "platform/WriteOutcome.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace carawaypond::platform {

/// @brief Calls the Object API. Each call is sent once; it must end before the
/// client is destroyed. Belongs to the one thread that runs the io_context.
///
/// Errors besides those of http::Connection: NotFound (404), Conflict (410, a
/// watch whose revision is too old), TooLarge (413), Unavailable (429 and 5xx),
/// InvalidInput (other 4xx), Malformed (a response that is not as documented).
class ObjectClient {
public:
  /// @brief The largest value that the Object API takes.
  static constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;

  /// @param Address "ip:port" of the Object API.
  ObjectClient(boost::asio::any_io_executor Executor, std::string Address);

  [[nodiscard]] const CallCounts &counts() const { return m_Counts; }

  /// @brief Reads one object.
  boost::asio::awaitable<Result<Object>> get(std::string Kind, std::string Name,
                                             TimePoint Deadline);
  /// @brief Reads all objects of a kind.
  boost::asio::awaitable<Result<ObjectList>> list(std::string Kind,
                                                  TimePoint Deadline);
  /// @brief Waits for objects of a kind to change.
  /// @param After The revision of the last list or watch.
  /// @param Timeout How long the platform waits for a change.
  /// @param Deadline When to stop waiting for the response; must be later than
  /// the end of @p Timeout.
  /// @return The changed objects; empty after the timeout.
  boost::asio::awaitable<Result<ObjectList>> watch(std::string Kind,
                                                   std::uint64_t After,
                                                   Milliseconds Timeout,
                                                   TimePoint Deadline);
  /// @brief Writes @p Value if @p Condition holds.
  /// @param Value JSON text.
  boost::asio::awaitable<WriteOutcome> put(std::string Kind, std::string Name,
                                           std::string Value,
                                           WriteCondition Condition,
                                           TimePoint Deadline);

private:
  boost::asio::awaitable<Result<http::Response>>
  fetch(std::string Path, std::string Query, TimePoint Deadline);

  http::Client m_Client;
  CallCounts m_Counts;
};

} // namespace carawaypond::platform

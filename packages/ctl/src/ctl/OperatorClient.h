#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "ctl/Exchange.h"
#include "http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Calls the operators' port of the first VM that can be reached.
class OperatorClient {
public:
  OperatorClient(boost::asio::any_io_executor Executor,
                 std::vector<std::string> Addresses);

  /// @brief Sends a request that changes something. Another VM is tried only
  /// while it is certain that no VM runs the request.
  boost::asio::awaitable<Exchange> submit(http::Request Asked,
                                          TimePoint Deadline);
  /// @brief Sends a request that changes nothing. Another VM is tried when one
  /// gives no useful answer.
  boost::asio::awaitable<Exchange> read(http::Request Asked,
                                        TimePoint Deadline);
  /// @brief Pauses between two rounds of questions.
  boost::asio::awaitable<void> pause(Milliseconds Length);

private:
  boost::asio::awaitable<Result<http::Response>> call(std::string Address,
                                                      http::Request Asked,
                                                      TimePoint ConnectBy,
                                                      TimePoint Deadline);

  boost::asio::any_io_executor m_Executor;
  std::vector<std::string> m_Addresses;
};

} // namespace carawaypond::ctl

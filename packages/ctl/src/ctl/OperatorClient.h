#pragma once

#include "core/outcome/Result.h"
#include "core/time/Time.h"
#include "ctl/RequestOutcome.h"
#include "http/Message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace carawaypond::ctl {

/// @brief Sends requests to the operators' ports of VMs, in the order given,
/// until one VM answers.
class OperatorClient {
public:
  OperatorClient(boost::asio::any_io_executor Executor,
                 std::vector<std::string> Addresses);

  /// @brief Sends a request that modifies state. The next VM is tried only if
  /// it is certain that no VM has run the request.
  boost::asio::awaitable<RequestOutcome> submit(http::Request Request,
                                                TimePoint Deadline);
  /// @brief Sends a read-only request. The next VM is tried if one does not
  /// answer, fails (status 500 or above) or did not run the request.
  boost::asio::awaitable<RequestOutcome> read(http::Request Request,
                                              TimePoint Deadline);
  /// @brief Waits between two polls.
  boost::asio::awaitable<void> pause(Milliseconds Length);

private:
  boost::asio::awaitable<Result<http::Response>> sendTo(std::string Address,
                                                        http::Request Request,
                                                        TimePoint ConnectBy,
                                                        TimePoint Deadline);

  boost::asio::any_io_executor m_Executor;
  std::vector<std::string> m_Addresses;
};

} // namespace carawaypond::ctl

#pragma once

#include "core/time/Time.h"
#include "ctl/Command.h"
#include "ctl/OperatorClient.h"
#include "ctl/Report.h"

#include <boost/asio/awaitable.hpp>

namespace carawaypond::ctl {

/// @brief Polls until a service's version is in force on every live VM.
class RolloutWaiter {
public:
  explicit RolloutWaiter(OperatorClient &Client) : m_Client(Client) {}

  /// @return The last answer; NotInForce if @p Deadline passed first.
  boost::asio::awaitable<Report> wait(WaitForService Target,
                                      TimePoint Deadline);

private:
  OperatorClient &m_Client;
};

} // namespace carawaypond::ctl

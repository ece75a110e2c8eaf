#pragma once

#include "core/time/Time.h"
#include "ctl/OperatorClient.h"
#include "ctl/Report.h"
#include "ctl/Submission.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::ctl {

/// @brief Sends a submission once. When its answer is lost it never sends it
/// again, but asks the VMs what became of it until the deadline.
class Submitter {
public:
  explicit Submitter(OperatorClient &Client) : m_Client(Client) {}

  boost::asio::awaitable<Report> submit(Submission Made, TimePoint Deadline);
  /// @brief Asks what became of a submission.
  boost::asio::awaitable<Report> ask(ServiceName Name, SubmissionId Id,
                                     TimePoint Deadline);

private:
  boost::asio::awaitable<Report> settle(Submission Made, std::string Why,
                                        TimePoint Deadline);

  OperatorClient &m_Client;
};

} // namespace carawaypond::ctl

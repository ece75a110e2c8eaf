#pragma once

#include "core/time/Time.h"
#include "ctl/OperatorClient.h"
#include "ctl/Report.h"
#include "ctl/Submission.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace carawaypond::ctl {

/// @brief Sends a submission. If the answer is lost, the submission is not
/// retried; its outcome is polled until the deadline.
class Submitter {
public:
  explicit Submitter(OperatorClient &Client) : m_Client(Client) {}

  boost::asio::awaitable<Report> submit(Submission Change, TimePoint Deadline);
  /// @brief Queries the outcome of a submission once.
  boost::asio::awaitable<Report> queryOutcome(ServiceName Name, SubmissionId Id,
                                              TimePoint Deadline);

private:
  /// @brief Polls the outcome until it is final or @p Deadline has passed.
  boost::asio::awaitable<Report>
  pollOutcome(Submission Change, std::string Reason, TimePoint Deadline);

  OperatorClient &m_Client;
};

} // namespace carawaypond::ctl

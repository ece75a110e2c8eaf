#pragma once

#include "coordination/configuration/RolloutStatus.h"
#include "daemon/control/ControlState.h"
#include "daemon/control/OperatorViews.h"
#include "daemon/control/SubmissionRunner.h"
#include "daemon/metrics/Metrics.h"
#include "http/Request.h"
#include "http/Response.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace carawaypond::daemon {

/// @brief Callbacks from the operators' API to the rest of the daemon.
struct OperatorHandlers {
  /// Begins a graceful stop; returns its maximum duration, without in-flight
  /// requests.
  std::function<Milliseconds()> OnStop;
  /// Checks on which live VMs a configuration version is in force.
  std::function<boost::asio::awaitable<RolloutStatus>(ServiceName,
                                                      ConfigVersion)>
      CheckRollout;
};

/// @brief Handles HTTP requests on the operators' port. Used on the control
/// thread only.
class OperatorApi {
public:
  OperatorApi(ControlState &State, SubmissionRunner &Submissions,
              const Metrics &Collected, OperatorHandlers Handlers);

  boost::asio::awaitable<http::Response> handle(http::Request Request);

private:
  using Answer = boost::asio::awaitable<http::Response>;

  [[nodiscard]] http::Response handleGet(const http::Request &Request) const;
  Answer create(http::Request Request);
  Answer change(http::Request Request, std::string Name);
  Answer remove(http::Request Request, std::string Name);
  Answer submit(Submission Wanted, unsigned AcceptedStatus);
  Answer findSubmitted(http::Request Request, std::string Id);
  Answer rolloutStatus(http::Request Request, std::string Name);
  [[nodiscard]] http::Response service(const std::string &Name) const;
  [[nodiscard]] http::Response services() const;

  ControlState &m_State;
  SubmissionRunner &m_Submissions;
  const Metrics &m_Collected;
  OperatorHandlers m_Handlers;
  OperatorViews m_Views;
};

} // namespace carawaypond::daemon

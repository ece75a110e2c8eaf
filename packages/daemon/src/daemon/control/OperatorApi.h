#pragma once

#include "coordination/configuration/ForceCheck.h"
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

/// @brief What the operators' port can ask of the rest of the daemon.
struct OperatorHandlers {
  /// Begins a graceful stop; returns its longest time.
  std::function<Milliseconds()> OnStop;
  /// Asks every live VM which configurations it holds.
  std::function<boost::asio::awaitable<ForceCheck>(ServiceName, ConfigVersion)>
      CheckForce;
};

/// @brief Routes the calls of the operators' port. Used on the control thread.
class OperatorApi {
public:
  OperatorApi(ControlState &State, SubmissionRunner &Submissions,
              const Metrics &Collected, OperatorHandlers Handlers);

  /// @brief Answers one request.
  boost::asio::awaitable<http::Response> handle(http::Request Request);

private:
  using Answer = boost::asio::awaitable<http::Response>;

  [[nodiscard]] http::Response readPage(const http::Request &Request) const;
  Answer create(http::Request Request);
  Answer change(http::Request Request, std::string Name);
  Answer remove(http::Request Request, std::string Name);
  Answer submit(Submission Wanted, unsigned AcceptedStatus);
  Answer findSubmitted(http::Request Request, std::string Id);
  Answer force(http::Request Request, std::string Name);
  [[nodiscard]] http::Response service(const std::string &Name) const;
  [[nodiscard]] http::Response services() const;

  ControlState &m_State;
  SubmissionRunner &m_Submissions;
  const Metrics &m_Collected;
  OperatorHandlers m_Handlers;
  OperatorViews m_Views;
};

} // namespace carawaypond::daemon

#pragma once

#include "coordination/overload/OverloadControl.h"
#include "core/time/Time.h"
#include "gateway/control/ChangeSignal.h"
#include "gateway/log/EventLog.h"
#include "gateway/overload/AdmittedRequest.h"
#include "gateway/traffic/TrafficCounters.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace carawaypond::gateway {

/// @brief Lets requests start within the limits of OverloadControl, and logs
/// when these begin and end. Used by the traffic thread only.
class AdmissionGate {
public:
  AdmissionGate(boost::asio::io_context &Context, TrafficCounters &Counters,
                EventLog &Log)
      : m_Context(Context), m_Counters(Counters), m_Log(Log) {}

  /// @brief Waits until the request may start, as long as it may wait.
  /// @param Services At which it would run.
  /// @return Nothing if it is refused.
  boost::asio::awaitable<std::optional<AdmittedRequest>>
  admit(std::vector<ServiceName> Services, AdmissionRequest Request);
  /// @brief Counts the end of an admitted request.
  /// @param Sample Nothing if the caller has disconnected.
  void end(const AdmittedRequest &Ended,
           const std::optional<LoadSample> &Sample);
  /// @brief Ends the limits that are due to end.
  void update();
  /// @brief See AdmissionRate::setFleetDemandHigh().
  void setFleetDemandHigh(bool IsHigh) { m_Control.setFleetDemandHigh(IsHigh); }

private:
  using Target = OverloadControl::Targets::value_type;

  /// @brief Logs if the target's limit has begun or ended. At its end, has the
  /// requests that wait decided on again.
  void checkLimit(const Target &Of);

  boost::asio::io_context &m_Context;
  TrafficCounters &m_Counters;
  EventLog &m_Log;
  OverloadControl m_Control;
  ChangeSignal m_Signal; ///< Notified as the decision on a request may change.
  std::unordered_set<const Target *> m_Limited; ///< Whose begin was logged.
};

} // namespace carawaypond::gateway

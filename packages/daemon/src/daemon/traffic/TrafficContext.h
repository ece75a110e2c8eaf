#pragma once

#include "coordination/subrequest/IdGenerator.h"
#include "core/id/Ids.h"
#include "daemon/metrics/Metrics.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ViewHolder.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace carawaypond::daemon {

/// @brief Dependencies shared by the components of one traffic thread. All of
/// them outlive the components.
struct TrafficContext {
  boost::asio::io_context &Io;
  const Settings &Config;
  Incarnation IncarnationNumber;
  ViewHolder &Views;
  Metrics &Collected;
  IdGenerator<SubrequestId> Ids;
  /// Tells the control thread whether a backend server reports that it is
  /// draining.
  std::function<void(const ServerName &, bool)> OnDrainStatus;
};

} // namespace carawaypond::daemon

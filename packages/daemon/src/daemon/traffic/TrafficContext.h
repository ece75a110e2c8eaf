#pragma once

#include "coordination/subrequest/SerialIds.h"
#include "core/id/Ids.h"
#include "daemon/metrics/Metrics.h"
#include "daemon/settings/Settings.h"
#include "daemon/view/ViewHolder.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace carawaypond::daemon {

/// @brief What the parts of one traffic thread share. All of it outlives them.
struct TrafficContext {
  boost::asio::io_context &Io;
  const Settings &Config;
  Incarnation Life;
  ViewHolder &Views;
  Metrics &Collected;
  SerialIds<SubrequestId> Ids;
  /// Tells the control thread whether a backend server says it is leaving.
  std::function<void(const ServerName &, bool)> OnDrainSign;
};

} // namespace carawaypond::daemon

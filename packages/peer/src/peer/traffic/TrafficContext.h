#pragma once

#include "peer/loop/IncarnationRegistry.h"
#include "peer/loop/PeerCounters.h"
#include "peer/node/PeerHandlers.h"
#include "peer/node/PeerOptions.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace carawaypond::peer {

/// @brief State shared by the traffic links and sessions. Used only on the
/// traffic thread, except for posting to the io_context.
struct TrafficContext {
  const PeerOptions &Options;
  const PeerHandlers &Handlers;
  PeerCounters &Counters;
  IncarnationRegistry &Incarnations;
  boost::asio::io_context Io{1};
  std::mt19937_64 Random{std::random_device{}()};
};

} // namespace carawaypond::peer

#pragma once

#include "coordination/addresses/CallerDirectory.h"
#include "core/outcome/Result.h"
#include "gateway/control/FleetState.h"
#include "gateway/traffic/TrafficCounters.h"
#include "http/Listener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaypond::gateway {

/// @brief Listen addresses and other settings of the control servers.
struct ControlServerOptions {
  std::string ReadyAddress;
  std::string DirectoryAddress;
  std::string PeerAddress;
  std::string MetricsAddress;
  Milliseconds AddressLifetime{2'000};
  Incarnation IncarnationNumber; ///< Incarnation of this process.
};

/// @brief HTTP servers for the readiness check, the directory, calls from other
/// VMs, and the metrics. Used by the control thread only.
class ControlServers {
public:
  /// Returns the state and the load of this VM.
  using Describe = std::function<LoadedVm()>;
  /// Returns the text of all metrics.
  using Metrics = std::function<std::string()>;
  /// Answers a call for tokens of quotas.
  using Quota = std::function<http::Response(const http::Request &)>;

  ControlServers(boost::asio::io_context &Context, ControlServerOptions Options,
                 FleetState &State, Describe DescribeSelf, Metrics MetricsText,
                 Quota AnswerQuota);

  /// @brief Listen address of each server, with the port that was bound.
  struct Addresses {
    std::string Ready;
    std::string Directory;
    std::string Peers;
    std::string Metrics;
  };

  [[nodiscard]] const Addresses &addresses() const { return m_Addresses; }

  Result<void> start();

private:
  Result<std::string> open(const std::string &Address, http::Handler Handle);
  [[nodiscard]] http::Response ready(const http::Request &Asked) const;
  /// @return The addresses to which callers may send requests.
  [[nodiscard]] http::Response directory(const http::Request &Asked);
  /// @return The data centres from which queries of the host cost least; see
  /// shardCentres().
  [[nodiscard]] const std::set<DataCentre> &
  cheapCentres(const std::string &Host);
  /// @brief Answers the calls of other VMs.
  boost::asio::awaitable<http::Response> peer(http::Request Asked);
  /// @brief Answers a long poll of a VM that follows this one.
  boost::asio::awaitable<http::Response> changes(http::Request Asked);
  [[nodiscard]] http::Response metrics() const;

  boost::asio::io_context &m_Context;
  ControlServerOptions m_Options;
  FleetState &m_State;
  Describe m_DescribeSelf;
  Metrics m_MetricsText;
  Quota m_AnswerQuota;
  CallerDirectory m_Directory{CallerDirectoryOptions{}};
  /// Cached results of cheapCentres(), by host.
  std::map<std::string, std::set<DataCentre>> m_CheapCentres;
  /// FleetState::changes() when m_CheapCentres was filled.
  std::uint64_t m_CheapCentresVersion = 0;
  std::vector<std::unique_ptr<http::Listener>> m_Listeners;
  Addresses m_Addresses;
};

} // namespace carawaypond::gateway

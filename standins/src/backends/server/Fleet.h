#pragma once

#include "backends/server/BackendServer.h"
#include "backends/server/IndexPublisher.h"
#include "common/Signal.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypond::standins {

/// @brief All servers of a deployment and the versions of their indexes.
class Fleet {
public:
  struct Options {
    std::string Platform; ///< "ip:port".
    std::uint64_t Seed = 1;
  };
  using Servers = std::vector<std::unique_ptr<BackendServer>>;

  Fleet(boost::asio::io_context &Io, const Deployment &Plan, Options Given);

  [[nodiscard]] const Servers &servers() const { return m_Servers; }
  [[nodiscard]] const RunLog &log() const { return m_Log; }
  [[nodiscard]] std::vector<ServiceRuntime *> services() const;

  /// @brief Opens every listener.
  Result<void> open();
  /// @brief Publishes every index, then lets the versions advance.
  boost::asio::awaitable<void> publishAll();
  /// @brief Publishes @p Service's index in the background.
  void publish(ServiceRuntime &Service);
  /// @brief Creates up to @p Count new versions of the index.
  /// @return The number of versions created.
  std::uint64_t advance(ServiceRuntime &Service, std::uint64_t Count);
  /// @brief Sets the replicas' maximum lag in versions; with 0 all catch up.
  void setMaxLag(ServiceRuntime &Service, std::uint64_t MaxLag);
  /// @brief Sets the time between versions; 0 for never.
  void setInterval(ServiceRuntime &Service, Milliseconds Interval);
  /// @brief Publishes in the index whether @p Server is leaving.
  void announceLeaving(BackendServer &Server, bool Leaving);

private:
  struct Service {
    Service(const ServicePlan &Plan, VersionOptions Versions)
        : Runtime(Plan, Versions) {}

    ServiceRuntime Runtime;
    std::vector<BackendServer *> Servers;
    Signal IntervalChanged;
  };

  boost::asio::awaitable<void> advanceLoop(Service &Of);
  boost::asio::awaitable<void> announce(BackendServer &Server, bool Leaving);
  Service &find(const ServiceRuntime &Runtime);

  boost::asio::io_context &m_Io;
  IndexPublisher m_Publisher;
  RunLog m_Log;
  std::map<std::string, std::unique_ptr<Service>> m_Services;
  Servers m_Servers;
};

} // namespace carawaypond::standins

#pragma once

#include "backends/server/Fleet.h"
#include "common/HttpServer.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace carawaypond::standins {

/// @brief The control interface: faults, actions, versions, log and counters.
///
/// `POST /control` accepts a target (`"server"`, `"service"`, `"shape"` or
/// `"data_centre"`, joined by "and"; or `"all": true`) and what to do with it:
/// - `"faults"`: see withFaults();
/// - `"action"`: "stop", "start", "drain" (`"grace_ms"`), "undrain", "leave" or
///   "return";
/// - `"index"`: `version_every_ms`, `max_lag`, `withdraw`, `advance`,
///   `repartition` (`{"shards", "replicas", "after"}`), for all the services
///   that have a targeted server.
class ControlServer {
public:
  ControlServer(boost::asio::io_context &Io, HttpServerOptions Options,
                Fleet &Controlled);

  [[nodiscard]] std::uint16_t port() const { return m_Http.port(); }

  Result<void> start() { return m_Http.start(); }

private:
  using Targets = std::vector<BackendServer *>;

  [[nodiscard]] HttpReply handle(const HttpRequest &Request);
  [[nodiscard]] HttpReply control(const HttpRequest &Request);
  [[nodiscard]] Targets select(const nlohmann::json &Body) const;
  [[nodiscard]] HttpReply stats() const;
  [[nodiscard]] HttpReply indexes() const;
  Result<void> applyFaults(const Targets &Servers, const nlohmann::json &Body);
  Result<void> act(const Targets &Servers, const nlohmann::json &Body);
  Result<void> changeIndexes(const Targets &Servers,
                             const nlohmann::json &Body);

  Fleet &m_Fleet;
  HttpServer m_Http;
};

} // namespace carawaypond::standins

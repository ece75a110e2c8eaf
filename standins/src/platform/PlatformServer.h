#pragma once

#include "common/HttpServer.h"
#include "common/Signal.h"
#include "platform/CallCounts.h"
#include "platform/ObjectStore.h"
#include "platform/PlatformFaults.h"
#include "platform/VmRegistry.h"

#include <cstdint>
#include <map>
#include <string>

namespace carawaypond::standins {

/// @brief The platform's Object API and VM list over HTTP, with a control
/// interface under `/control` on the same port.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Io, HttpServerOptions Options,
                 std::uint64_t Seed);

  [[nodiscard]] std::uint16_t port() const { return m_Http.port(); }

  Result<void> start() { return m_Http.start(); }

private:
  using Reply = boost::asio::awaitable<HttpReply>;

  Reply handle(HttpRequest Request, CallWatch &Watch);
  Reply handlePlatform(const HttpRequest &Request, CallWatch &Watch);
  Reply watch(std::string Kind, const HttpRequest &Request, CallWatch &Watch);
  HttpReply listOrGet(std::string_view Target);
  HttpReply put(std::string_view Target, const HttpRequest &Request);
  HttpReply listVms();
  HttpReply control(const HttpRequest &Request);
  HttpReply applyFaults(const HttpRequest &Request);
  HttpReply replaceVms(const HttpRequest &Request);
  HttpReply changeVm(const std::string &Name, const HttpRequest &Request);

  CallCounts m_Counts;
  PlatformFaults m_Faults;
  ObjectStore m_Store;
  VmRegistry m_Vms;
  std::map<std::string, Signal> m_Changed; ///< By kind.
  HttpServer m_Http;
};

} // namespace carawaypond::standins

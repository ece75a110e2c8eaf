#pragma once

#include "backends/index/ReplicaWindow.h"
#include "backends/log/RunLog.h"
#include "backends/run/RunQueue.h"
#include "backends/run/ServerFaults.h"
#include "backends/run/ServiceTime.h"
#include "backends/server/SearchRequest.h"
#include "backends/server/ServerDrain.h"
#include "backends/server/ServerStats.h"
#include "backends/server/ServiceRuntime.h"
#include "common/HttpServer.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace carawaypond::standins {

/// @brief One backend server on its own port.
class BackendServer {
public:
  BackendServer(boost::asio::io_context &Io, ServiceRuntime &Service,
                const ServerInfo &Info, RunLog &Log, std::uint64_t Seed);

  [[nodiscard]] const ServerName &name() const { return m_Name; }
  [[nodiscard]] const DataCentre &centre() const { return m_Centre; }
  [[nodiscard]] ServiceRuntime &service() { return m_Service; }
  [[nodiscard]] const HttpServer &http() const { return m_Http; }
  [[nodiscard]] const ServerStats &stats() const { return m_Stats; }
  [[nodiscard]] const ServerFaults &faults() const { return m_Faults; }
  [[nodiscard]] std::size_t running() const { return m_Queue.running(); }
  [[nodiscard]] std::string address() const;

  /// @brief Opens the listener; a cold start begins.
  Result<void> start();
  /// @brief Closes the listener and all connections; cancels all subrequests.
  void stop();
  void setFaults(const ServerFaults &Faults) { m_Faults = Faults; }
  /// @brief Reports the drain status; refuses subrequests after @p Grace.
  void drain(Duration Grace);
  void endDrain();
  /// @brief Counts later subrequests as received after leaving was announced.
  void markLeaving();
  /// @brief Advances to the index's newest version minus a random lag.
  void catchUpWithIndex();

private:
  struct ActiveRun;
  enum class Wake;
  using Reply = boost::asio::awaitable<HttpReply>;

  Reply handle(HttpRequest Request, CallWatch &Watch);
  Reply route(const HttpRequest &Request, CallWatch &Watch);
  Reply search(const HttpRequest &Request, CallWatch &Watch);
  boost::asio::awaitable<std::optional<Refusal>>
  waitForSlot(const SearchRequest &Request, ActiveRun &Run, CallWatch &Watch);
  boost::asio::awaitable<std::optional<HttpReply>>
  admit(const SearchRequest &Request, ActiveRun &Run, CallWatch &Watch);
  Reply runAndAnswer(const SearchRequest &Request, ActiveRun &Run);
  [[nodiscard]] std::optional<Refusal>
  refusalOnArrival(const SearchRequest &Request);
  [[nodiscard]] std::optional<Refusal>
  versionRefusal(const SearchRequest &Request) const;
  HttpReply refuse(const SearchRequest &Request, const Refusal &Why);
  HttpReply answer(const SearchRequest &Request);
  void replaceWithStaleAnswer(HttpReply &Answer);
  [[nodiscard]] RecordSet find(const SearchRequest &Request) const;
  HttpReply cancel(const HttpRequest &Request);
  HttpReply health();
  void release(const std::string &Id);
  void wake(const std::string &Id, Wake Why);
  void log(const SearchRequest &Request, RunEvent Event,
           std::string_view Reason = {});
  void countReceived();
  [[nodiscard]] bool happens(double Ratio);

  boost::asio::io_context &m_Io;
  ServiceRuntime &m_Service;
  RunLog &m_Log;
  ServerName m_Name;
  DataCentre m_Centre;
  std::mt19937_64 m_Random;
  ReplicaWindow m_Window;
  RunQueue m_Queue;
  ServiceTime m_ServiceTime;
  ServerFaults m_Faults;
  ServerDrain m_Drain;
  ServerStats m_Stats;
  TimePoint m_StartedAt;
  std::unordered_map<std::string, ActiveRun *> m_Active;
  std::string m_LastAnswer;
  double m_ReportedLoad = 0;
  TimePoint m_LoadReportedAt;
  HttpServer m_Http;
};

} // namespace carawaypond::standins

#pragma once

#include "LoadPlan.h"
#include "StreamReport.h"
#include "VmAddresses.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>

namespace carawaypond::bench {

/// @brief Open-loop load generator: sends each query of a plan at its scheduled
/// arrival, regardless of earlier queries. Latency is measured from the
/// scheduled arrival.
class LoadRun {
public:
  LoadRun(boost::asio::io_context &Io, LoadPlan Plan);

  [[nodiscard]] nlohmann::json report() const;

  /// @brief Runs the plan and returns when every query has finished.
  Result<void> run();

private:
  boost::asio::awaitable<void> start();
  boost::asio::awaitable<void> refreshAddresses(Milliseconds Valid);
  boost::asio::awaitable<void> arrivals(const LoadStream &Stream,
                                        std::uint64_t Seed);
  boost::asio::awaitable<void> query(const LoadStream &Stream, TimePoint DueAt);
  boost::asio::awaitable<Result<http::Response>> send(const LoadStream &Stream,
                                                      TimePoint Deadline);

  boost::asio::io_context &m_Io;
  LoadPlan m_Plan;
  VmAddresses m_Addresses;
  std::map<std::string, StreamReport> m_Reports;
  TimePoint m_ReportFrom;
  TimePoint m_End;
  /// Largest delay between due time and send, caused by this process.
  Duration m_MaxLateness{0};
  Result<void> m_Outcome = success();
};

} // namespace carawaypond::bench

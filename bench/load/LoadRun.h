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

/// @brief Sends a plan's queries when they are due, whatever became of those
/// before: arrivals are open-loop, and latency counts from the scheduled one.
class LoadRun {
public:
  LoadRun(boost::asio::io_context &Io, LoadPlan Plan);

  [[nodiscard]] nlohmann::json report() const;

  /// @brief Runs the plan; ends when each query has ended.
  Result<void> run();

private:
  boost::asio::awaitable<void> start();
  boost::asio::awaitable<void> keepAddresses(Milliseconds Valid);
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
  Duration m_MaxLateness{0}; ///< Between due and sent: this process's own.
  Result<void> m_Outcome = success();
};

} // namespace carawaypond::bench

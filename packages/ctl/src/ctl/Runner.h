#pragma once

#include "ctl/Invocation.h"
#include "ctl/OperatorClient.h"
#include "ctl/Report.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <iosfwd>

namespace carawaypond::ctl {

/// @brief The standard streams of the process.
struct Streams {
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
};

/// @brief Executes one invocation.
class Runner {
public:
  Runner(boost::asio::any_io_executor Executor, Invocation Requested,
         Streams Standard);

  /// @brief Executes the command. A generated submission id is written to
  /// Streams::Err before the request is sent.
  boost::asio::awaitable<Report> run();

private:
  friend struct CommandVisitor;

  [[nodiscard]] SubmissionId chooseSubmissionId();

  Invocation m_Invocation;
  Streams m_Standard;
  OperatorClient m_Client;
  TimePoint m_Deadline;
};

/// @brief Parses @p Arguments, runs the command and prints its report.
/// @return The exit code.
int runProgram(const std::vector<std::string> &Arguments, Streams Standard);

} // namespace carawaypond::ctl

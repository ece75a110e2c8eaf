#pragma once

#include "ctl/Invocation.h"
#include "ctl/OperatorClient.h"
#include "ctl/Report.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <iosfwd>

namespace carawaypond::ctl {

/// @brief The streams of the process.
struct Streams {
  std::istream &In;
  std::ostream &Out;
  std::ostream &Err;
};

/// @brief Carries out one invocation.
class Runner {
public:
  Runner(boost::asio::any_io_executor Executor, Invocation Asked,
         Streams Standard);

  /// @brief Carries it out; a submission id that was made up is written to
  /// Streams::Err before anything is sent.
  boost::asio::awaitable<Report> run();

private:
  friend struct CommandVisitor;

  [[nodiscard]] SubmissionId chooseSubmissionId();

  Invocation m_Asked;
  Streams m_Standard;
  OperatorClient m_Client;
  TimePoint m_Deadline;
};

/// @brief The whole program: reads @p Arguments, runs the command, prints.
/// @return The exit code.
int runProgram(const std::vector<std::string> &Arguments, Streams Standard);

} // namespace carawaypond::ctl

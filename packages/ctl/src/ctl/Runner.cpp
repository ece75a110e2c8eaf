#include "ctl/Runner.h"

#include "ctl/Arguments.h"
#include "ctl/ConfigReport.h"
#include "ctl/Help.h"
#include "ctl/Reports.h"
#include "ctl/RolloutWaiter.h"
#include "ctl/SubmissionIds.h"
#include "ctl/Submitter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <exception>
#include <fstream>
#include <iostream>

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

constexpr std::size_t ReadBytes = 65'536;

/// @brief Reads a whole file; "-" reads @p StandardInput.
Result<std::string> readFile(const std::string &Name,
                             std::istream &StandardInput) {
  std::ifstream File;
  if (Name != "-")
    File.open(Name, std::ios::binary);
  std::istream &From = Name == "-" ? StandardInput : File;
  std::string Content;
  std::array<char, ReadBytes> Buffer{};
  while (From.read(Buffer.data(), Buffer.size()) || From.gcount() > 0)
    Content.append(Buffer.data(), static_cast<std::size_t>(From.gcount()));
  // A folder can be opened, but reading it fails.
  if (From.bad() || !From.eof())
    return failure(ErrorCode::NotFound, "can't read \"" + Name + "\"");
  return Content;
}

awaitable<Report> completedReport(Report CommandReport) {
  co_return CommandReport;
}

awaitable<Report> reportInvalidInput(const Error &Cause) {
  return completedReport(
      failureReport(ExitCode::Invalid, "invalid", Cause.Message));
}

awaitable<Report> reportUnreadableFile(const Error &Cause) {
  return completedReport(
      failureReport(ExitCode::Usage, "usage", Cause.Message));
}

/// @brief Owns the Submitter until its coroutine has finished.
awaitable<Report> submit(OperatorClient &Client, Submission Change,
                         TimePoint Deadline) {
  Submitter Sender(Client);
  co_return co_await Sender.submit(std::move(Change), Deadline);
}

awaitable<Report> view(OperatorClient &Client, ShowView Command,
                       TimePoint Deadline) {
  http::Request Request;
  Request.Path = std::move(Command.Path);
  Request.Query = std::move(Command.Query);
  RequestOutcome Outcome = co_await Client.read(std::move(Request), Deadline);
  co_return responseReport(Outcome);
}

awaitable<Report> stop(OperatorClient &Client, TimePoint Deadline) {
  http::Request Request;
  Request.Method = "POST";
  Request.Path = "/v1/stop";
  RequestOutcome Outcome = co_await Client.submit(std::move(Request), Deadline);
  co_return responseReport(Outcome);
}

Report checkConfig(const CheckConfig &Command, std::istream &StandardInput) {
  std::optional<std::string> InForce;
  if (Command.InForce) {
    auto Content = readFile(*Command.InForce, StandardInput);
    if (!Content)
      return failureReport(ExitCode::Usage, "usage", Content.error().Message);
    InForce = std::move(Content.value());
  }
  auto Content = readFile(Command.File, StandardInput);
  if (!Content)
    return failureReport(ExitCode::Usage, "usage", Content.error().Message);
  return configReport(Content.value(), InForce);
}

bool isAnswer(ExitCode Code) {
  return Code == ExitCode::Ok || Code == ExitCode::Findings;
}

void print(const Report &CommandReport, bool Json, Streams Standard) {
  if (Json)
    Standard.Out << CommandReport.Raw << '\n';
  else if (isAnswer(CommandReport.Code))
    Standard.Out << CommandReport.Text;
  else
    Standard.Err << CommandReport.Text;
}

} // namespace

/// @brief Starts the coroutine that executes a command.
struct CommandVisitor {
  Runner &Self;

  awaitable<Report> operator()(const ShowHelp &) const {
    return completedReport({.Raw = "", .Text = std::string(helpText())});
  }
  awaitable<Report> operator()(const ShowVersion &) const {
    return completedReport({.Raw = "", .Text = std::string(versionText())});
  }
  awaitable<Report> operator()(const CreateService &Command) const {
    auto Content = readFile(Command.File, Self.m_Standard.In);
    if (!Content)
      return reportUnreadableFile(Content.error());
    auto Change = makeCreation(Content.value(), Self.chooseSubmissionId());
    if (!Change)
      return reportInvalidInput(Change.error());
    return submit(Self.m_Client, std::move(Change.value()), Self.m_Deadline);
  }
  awaitable<Report> operator()(const PatchService &Command) const {
    auto Patch = readFile(Command.File, Self.m_Standard.In);
    if (!Patch)
      return reportUnreadableFile(Patch.error());
    auto Change = makePatch(Command, Patch.value(), Self.chooseSubmissionId());
    if (!Change)
      return reportInvalidInput(Change.error());
    return submit(Self.m_Client, std::move(Change.value()), Self.m_Deadline);
  }
  awaitable<Report> operator()(const DeleteService &Command) const {
    Submission Change = makeDeletion(Command, Self.chooseSubmissionId());
    return submit(Self.m_Client, std::move(Change), Self.m_Deadline);
  }
  awaitable<Report> operator()(const WaitForService &Command) const {
    RolloutWaiter Waiter(Self.m_Client);
    co_return co_await Waiter.wait(Command, Self.m_Deadline);
  }
  awaitable<Report> operator()(const ShowSubmission &Command) const {
    Submitter Sender(Self.m_Client);
    co_return co_await Sender.queryOutcome(Command.Name, Command.Id,
                                           Self.m_Deadline);
  }
  awaitable<Report> operator()(const ShowView &Command) const {
    return view(Self.m_Client, Command, Self.m_Deadline);
  }
  awaitable<Report> operator()(const StopVm &) const {
    return stop(Self.m_Client, Self.m_Deadline);
  }
  awaitable<Report> operator()(const CheckConfig &Command) const {
    return completedReport(checkConfig(Command, Self.m_Standard.In));
  }
};

Runner::Runner(boost::asio::any_io_executor Executor, Invocation Requested,
               Streams Standard)
    : m_Invocation(std::move(Requested)), m_Standard(Standard),
      m_Client(std::move(Executor), m_Invocation.Options.Operators),
      m_Deadline(monotonicNow() + m_Invocation.Options.Timeout) {}

SubmissionId Runner::chooseSubmissionId() {
  if (!m_Invocation.Options.Submission.value().empty())
    return m_Invocation.Options.Submission;
  SubmissionId Generated = makeSubmissionId();
  m_Standard.Err << "submission: " << Generated << std::endl;
  return Generated;
}

awaitable<Report> Runner::run() {
  CommandVisitor Visitor{*this};
  co_return co_await std::visit(Visitor, m_Invocation.RequestedCommand);
}

int runProgram(const std::vector<std::string> &Arguments, Streams Standard) {
  auto Parsed = parseArguments(Arguments);
  if (!Parsed) {
    Standard.Err << "carawayctl: " << Parsed.error().Message << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  bool Json = Parsed.value().Options.Json;
  boost::asio::io_context Context;
  Runner Run(Context.get_executor(), std::move(Parsed.value()), Standard);
  Report CommandReport;
  std::exception_ptr Thrown;
  boost::asio::co_spawn(Context, Run.run(),
                        [&](std::exception_ptr Error, Report Outcome) {
                          Thrown = std::move(Error);
                          CommandReport = std::move(Outcome);
                        });
  Context.run();
  if (Thrown)
    std::rethrow_exception(Thrown);
  print(CommandReport, Json, Standard);
  return static_cast<int>(CommandReport.Code);
}

} // namespace carawaypond::ctl

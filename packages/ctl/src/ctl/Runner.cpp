#include "ctl/Runner.h"

#include "ctl/Arguments.h"
#include "ctl/Help.h"
#include "ctl/Reports.h"
#include "ctl/RolloutWaiter.h"
#include "ctl/SubmissionIds.h"
#include "ctl/Submitter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

namespace carawaypond::ctl {

using boost::asio::awaitable;

namespace {

/// @brief Reads a whole file; "-" is @p StandardInput.
Result<std::string> readFile(const std::string &Name,
                             std::istream &StandardInput) {
  std::ifstream File;
  if (Name != "-")
    File.open(Name, std::ios::binary);
  std::istream &From = Name == "-" ? StandardInput : File;
  if (!From)
    return failure(ErrorCode::NotFound, "can't read \"" + Name + "\"");
  return std::string(std::istreambuf_iterator<char>(From), {});
}

awaitable<Report> ready(Report Made) { co_return Made; }

awaitable<Report> invalid(const Error &Cause) {
  return ready(failureReport(ExitCode::Invalid, "invalid", Cause.Message));
}

awaitable<Report> unreadable(const Error &Cause) {
  return ready(failureReport(ExitCode::Usage, "usage", Cause.Message));
}

/// @brief Keeps the submitter alive while it submits.
awaitable<Report> submit(OperatorClient &Client, Submission Made,
                         TimePoint Deadline) {
  Submitter Sender(Client);
  co_return co_await Sender.submit(std::move(Made), Deadline);
}

awaitable<Report> view(OperatorClient &Client, ShowView Wanted,
                       TimePoint Deadline) {
  http::Request Asked;
  Asked.Path = std::move(Wanted.Path);
  Asked.Query = std::move(Wanted.Query);
  Exchange Ended = co_await Client.read(std::move(Asked), Deadline);
  co_return viewReport(Ended);
}

awaitable<Report> stop(OperatorClient &Client, TimePoint Deadline) {
  http::Request Asked;
  Asked.Method = "POST";
  Asked.Path = "/v1/stop";
  Exchange Ended = co_await Client.submit(std::move(Asked), Deadline);
  co_return viewReport(Ended);
}

void print(const Report &Made, bool Json, Streams Standard) {
  if (Json)
    Standard.Out << Made.Raw << '\n';
  else if (Made.Code == ExitCode::Ok)
    Standard.Out << Made.Text;
  else
    Standard.Err << Made.Text;
}

} // namespace

/// @brief Starts what each command stands for.
struct CommandVisitor {
  Runner &Self;

  awaitable<Report> operator()(const ShowHelp &) const {
    return ready({.Raw = "", .Text = std::string(helpText())});
  }
  awaitable<Report> operator()(const ShowVersion &) const {
    return ready({.Raw = "", .Text = std::string(versionText())});
  }
  awaitable<Report> operator()(const CreateService &Wanted) const {
    auto Content = readFile(Wanted.File, Self.m_Standard.In);
    if (!Content)
      return unreadable(Content.error());
    auto Made = makeCreation(Content.value(), Self.chooseSubmissionId());
    if (!Made)
      return invalid(Made.error());
    return submit(Self.m_Client, std::move(Made.value()), Self.m_Deadline);
  }
  awaitable<Report> operator()(const PatchService &Wanted) const {
    auto Patch = readFile(Wanted.File, Self.m_Standard.In);
    if (!Patch)
      return unreadable(Patch.error());
    auto Made = makePatch(Wanted, Patch.value(), Self.chooseSubmissionId());
    if (!Made)
      return invalid(Made.error());
    return submit(Self.m_Client, std::move(Made.value()), Self.m_Deadline);
  }
  awaitable<Report> operator()(const DeleteService &Wanted) const {
    Submission Made = makeDeletion(Wanted, Self.chooseSubmissionId());
    return submit(Self.m_Client, std::move(Made), Self.m_Deadline);
  }
  awaitable<Report> operator()(const WaitForService &Wanted) const {
    RolloutWaiter Waiter(Self.m_Client);
    co_return co_await Waiter.wait(Wanted, Self.m_Deadline);
  }
  awaitable<Report> operator()(const ShowSubmission &Wanted) const {
    Submitter Sender(Self.m_Client);
    co_return co_await Sender.ask(Wanted.Name, Wanted.Id, Self.m_Deadline);
  }
  awaitable<Report> operator()(const ShowView &Wanted) const {
    return view(Self.m_Client, Wanted, Self.m_Deadline);
  }
  awaitable<Report> operator()(const StopVm &) const {
    return stop(Self.m_Client, Self.m_Deadline);
  }
};

Runner::Runner(boost::asio::any_io_executor Executor, Invocation Asked,
               Streams Standard)
    : m_Asked(std::move(Asked)), m_Standard(Standard),
      m_Client(std::move(Executor), m_Asked.Options.Operators),
      m_Deadline(monotonicNow() + m_Asked.Options.Timeout) {}

SubmissionId Runner::chooseSubmissionId() {
  if (!m_Asked.Options.Submission.value().empty())
    return m_Asked.Options.Submission;
  SubmissionId Made = makeSubmissionId();
  m_Standard.Err << "submission: " << Made << std::endl;
  return Made;
}

awaitable<Report> Runner::run() {
  CommandVisitor Visitor{*this};
  co_return co_await std::visit(Visitor, m_Asked.Wanted);
}

int runProgram(const std::vector<std::string> &Arguments, Streams Standard) {
  auto Asked = parseArguments(Arguments);
  if (!Asked) {
    Standard.Err << "carawayctl: " << Asked.error().Message << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  bool Json = Asked.value().Options.Json;
  boost::asio::io_context Context;
  Runner Run(Context.get_executor(), std::move(Asked.value()), Standard);
  Report Made;
  std::exception_ptr Thrown;
  boost::asio::co_spawn(Context, Run.run(),
                        [&](std::exception_ptr Error, Report Ended) {
                          Thrown = std::move(Error);
                          Made = std::move(Ended);
                        });
  Context.run();
  if (Thrown)
    std::rethrow_exception(Thrown);
  print(Made, Json, Standard);
  return static_cast<int>(Made.Code);
}

} // namespace carawaypond::ctl

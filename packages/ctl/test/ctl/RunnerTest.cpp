#include "FakeVm.h"

#include "ctl/ctl.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace carawaypond;
using namespace carawaypond::ctl;

namespace {

struct ProgramResult {
  ExitCode Code;
  std::string Out;
  std::string Err;
};

const std::string Content = R"({"name": "claims", "index": "claims"})";

/// @brief Runs the program with @p Input as standard input.
ProgramResult run(const std::string &Operators,
                  std::vector<std::string> Arguments,
                  const std::string &Input = "") {
  std::istringstream In(Input);
  std::ostringstream Out;
  std::ostringstream Err;
  Arguments.insert(Arguments.begin(), {"--operator", Operators});
  int Code = runProgram(Arguments, {.In = In, .Out = Out, .Err = Err});
  return {static_cast<ExitCode>(Code), Out.str(), Err.str()};
}

ProgramResult patch(const std::string &Operators,
                    std::vector<std::string> ExtraArguments = {}) {
  ExtraArguments.insert(
      ExtraArguments.begin(),
      {"service", "patch", "claims", "--version", "7", "--patch=-"});
  return run(Operators, std::move(ExtraArguments),
             R"({"hedge_quantile": 0.9})");
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("a patch carries the version last read and a new submission id") {
  FakeVm Vm(200, R"({"outcome": "accepted", "version": 8})");
  ProgramResult First = patch(Vm.address());
  CHECK(First.Code == ExitCode::Ok);
  CHECK(contains(First.Out, "version: 8"));
  CHECK(First.Err.starts_with("submission: ctl-"));
  ProgramResult Second = patch(Vm.address());
  CHECK(First.Err != Second.Err);
  auto Received = Vm.received();
  REQUIRE(Received.size() == 2);
  CHECK(Received[0].Method == "PATCH");
  CHECK(Received[0].Path == "/v1/services/claims");
  auto Body = nlohmann::json::parse(Received[0].Body);
  CHECK(Body["version"] == 7);
  CHECK(Body["patch"] == nlohmann::json({{"hedge_quantile", 0.9}}));
  CHECK(First.Err ==
        "submission: " + Body["submission"].get<std::string>() + "\n");
}

TEST_CASE("each refusal has its exit code, and --json prints the body") {
  const std::pair<unsigned, ExitCode> Expected[] = {{409, ExitCode::Stale},
                                                    {422, ExitCode::Invalid},
                                                    {404, ExitCode::NotFound}};
  for (auto [Status, Code] : Expected) {
    const std::string Body = R"({"outcome":"refused","version":9})";
    FakeVm Vm(Status, Body);
    ProgramResult Refused =
        patch(Vm.address(), {"--json", "--submission", "s-1"});
    CHECK(Refused.Code == Code);
    CHECK(Refused.Out == Body + "\n");
    CHECK(Refused.Err.empty());
    CHECK(Vm.received().size() == 1);
  }
}

TEST_CASE(
    "the next VM is tried if one is unreachable or did not run the request") {
  FakeVm Leaving(503, R"({"outcome": "not_run", "reason": "leaving"})");
  FakeVm Vm(200, R"({"outcome": "accepted", "version": 8})");
  ProgramResult Accepted =
      patch(unusedAddress() + "," + Leaving.address() + "," + Vm.address());
  CHECK(Accepted.Code == ExitCode::Ok);
  CHECK(Vm.received().size() == 1);
  ProgramResult Unreached = patch(unusedAddress() + "," + Leaving.address());
  CHECK(Unreached.Code == ExitCode::Unreached);
}

TEST_CASE(
    "after a lost answer the outcome is queried and the patch is not resent") {
  const std::pair<const char *, ExitCode> Expected[] = {
      {R"({"outcome": "accepted", "version": 8})", ExitCode::Ok},
      {R"({"outcome": "refused", "reason": "stale"})", ExitCode::Stale},
      {R"({"outcome": "refused", "reason": "invalid"})", ExitCode::Invalid}};
  for (auto [Body, Code] : Expected) {
    DisconnectingVm Disconnecting;
    FakeVm Other(200, Body);
    ProgramResult Settled =
        patch(Disconnecting.address() + "," + Other.address(),
              {"--submission", "s-1"});
    CHECK(Settled.Code == Code);
    auto Received = Other.received();
    REQUIRE(Received.size() == 1);
    CHECK(Received[0].Method == "GET");
    CHECK(Received[0].Path == "/v1/submissions/s-1");
    CHECK(Received[0].queryParameter("service") == "claims");
  }
}

TEST_CASE("an inconclusive status leads to a query for the outcome") {
  FakeVm Vm([](const http::Request &Request) {
    http::Response Response;
    Response.Status = Request.Method == "PATCH" ? 504 : 200;
    Response.Body = Request.Method == "PATCH" ? R"({"outcome": "unknown"})"
                                              : R"({"outcome": "accepted"})";
    return Response;
  });
  CHECK(patch(Vm.address()).Code == ExitCode::Ok);
}

TEST_CASE("a submission without a final outcome is unknown, never refused") {
  DisconnectingVm Disconnecting;
  FakeVm Undecided(200, R"({"outcome": "unknown"})");
  ProgramResult Unresolved =
      patch(Disconnecting.address() + "," + Undecided.address(),
            {"--timeout-ms", "1500", "--submission", "s-1"});
  CHECK(Unresolved.Code == ExitCode::Unknown);
  CHECK(contains(Unresolved.Err, "submission claims s-1"));
  ProgramResult Alone =
      patch(Disconnecting.address(), {"--timeout-ms", "1500"});
  CHECK(Alone.Code == ExitCode::Unknown);
  ProgramResult Queried =
      run(Undecided.address(), {"submission", "claims", "s-1"});
  CHECK(Queried.Code == ExitCode::Unknown);
}

TEST_CASE("a service is created from a file, unless it is not JSON") {
  FakeVm Vm(201, R"({"outcome": "accepted", "version": 1})");
  ProgramResult Created =
      run(Vm.address(), {"service", "create", "-"}, Content);
  CHECK(Created.Code == ExitCode::Ok);
  auto Received = Vm.received();
  REQUIRE(Received.size() == 1);
  CHECK(Received[0].Method == "POST");
  CHECK(Received[0].Path == "/v1/services");
  CHECK(nlohmann::json::parse(Received[0].Body)["content"]["name"] == "claims");
  for (const char *Bad : {"{", "[]", "{}", R"({"name": 7})"})
    CHECK(run(Vm.address(), {"service", "create", "-"}, Bad).Code ==
          ExitCode::Invalid);
  CHECK(run(Vm.address(), {"service", "create", "no-such-file"}).Code ==
        ExitCode::Usage);
  CHECK(Vm.received().size() == 1);
}

TEST_CASE("a deletion carries its version and submission id") {
  FakeVm Vm(200, R"({"outcome": "accepted", "version": 8})");
  ProgramResult Deleted =
      run(Vm.address(), {"service", "delete", "claims", "--version", "7",
                         "--submission", "s-1"});
  CHECK(Deleted.Code == ExitCode::Ok);
  REQUIRE(Vm.received().size() == 1);
  CHECK(Vm.received()[0].Method == "DELETE");
  CHECK(Vm.received()[0].Query == "version=7&submission=s-1");
}

TEST_CASE("waiting ends when every VM has the version, or at the timeout") {
  int Calls = 0;
  FakeVm Vm([&Calls](const http::Request &) {
    http::Response Response;
    Response.Body = ++Calls < 3
                        ? R"({"in_force": 7, "vms": 8, "waiting": ["vm-3"]})"
                        : R"({"in_force": 8, "vms": 8, "waiting": []})";
    return Response;
  });
  const std::vector<std::string> Wait = {"service", "wait", "claims",
                                         "--version", "8"};
  CHECK(run(Vm.address(), Wait).Code == ExitCode::Ok);
  FakeVm Lagging(200, R"({"in_force": 7, "vms": 8, "waiting": ["vm-3"]})");
  FakeVm WithoutVms(200, R"({"in_force": 0, "vms": 0, "waiting": []})");
  std::vector<std::string> Brief = Wait;
  Brief.insert(Brief.end(), {"--timeout-ms", "1500"});
  ProgramResult Late = run(Lagging.address(), Brief);
  CHECK(Late.Code == ExitCode::NotInForce);
  CHECK(contains(Late.Err, "vm-3"));
  CHECK(run(WithoutVms.address(), Brief).Code == ExitCode::NotInForce);
  CHECK(run(unusedAddress(), Brief).Code == ExitCode::Unreached);
  FakeVm None(404, R"({"outcome": "not_found"})");
  CHECK(run(None.address(), Wait).Code == ExitCode::NotFound);
}

TEST_CASE("a view is read from the next VM if one does not answer") {
  DisconnectingVm Disconnecting;
  FakeVm Vm(200, R"({"vms": [{"name": "vm-1", "state": "live"},
                             {"name": "vm-22", "incarnation": 7}]})");
  ProgramResult Seen =
      run(Disconnecting.address() + "," + Vm.address(), {"vms"});
  CHECK(Seen.Code == ExitCode::Ok);
  CHECK(Seen.Out == "vms:\n"
                    "NAME   STATE  INCARNATION\n"
                    "vm-1   live   -\n"
                    "vm-22  -      7\n");
  CHECK(run(Vm.address(), {"backends", "a b"}).Code == ExitCode::Ok);
  CHECK(Vm.received().back().Query == "service=a%20b");
}

TEST_CASE("services are listed one per line") {
  FakeVm Vm(200, R"({"services": [{"service": "claims", "version": 3, "content":
    {"index": "c", "classes": [{"name": "interactive"}, {"name": "sweep"}]}}]})");
  CHECK(run(Vm.address(), {"service", "list"}).Out ==
        "SERVICE  VERSION  INDEX  CLASSES\n"
        "claims   3        c      interactive,sweep\n");
}

TEST_CASE("a stop is sent to exactly one VM") {
  FakeVm Vm(202, R"({"state": "leaving"})");
  CHECK(run(Vm.address(), {"stop"}).Code == ExitCode::Ok);
  REQUIRE(Vm.received().size() == 1);
  CHECK(Vm.received()[0].Method == "POST");
  CHECK(run(Vm.address() + "," + unusedAddress(), {"stop"}).Code ==
        ExitCode::Usage);
  CHECK(run(unusedAddress(), {"stop"}).Code == ExitCode::Unreached);
}

#include "ctl/Syntax.h"

#include "http/PercentCoding.h"

#include <functional>
#include <map>

namespace carawaypond::ctl {

namespace {

Command makeView(std::string Path, std::string Query = "") {
  return ShowView{.Path = std::move(Path), .Query = std::move(Query)};
}

Command makeServiceView(std::string Path, const std::string &Service) {
  return makeView(std::move(Path), "service=" + http::percentEncode(Service));
}

using CommandTable = std::map<std::string, Syntax, std::less<>>;

const CommandTable &commands() {
  static const CommandTable Known = {
      {"service create",
       {1, Needs::Nothing, "service create FILE",
        [](const Operands &Given) -> Command {
          return CreateService{.File = Given.Words[0]};
        }}},
      {"service get",
       {1, Needs::Nothing, "service get NAME",
        [](const Operands &Given) -> Command {
          return makeView("/v1/services/" +
                          http::percentEncode(Given.Words[0]));
        }}},
      {"service list",
       {0, Needs::Nothing, "service list",
        [](const Operands &) -> Command { return makeView("/v1/services"); }}},
      {"service patch",
       {1, Needs::VersionAndPatch,
        "service patch NAME --version N --patch FILE|-",
        [](const Operands &Given) -> Command {
          return PatchService{.Name = ServiceName(Given.Words[0]),
                              .Version = Given.Version,
                              .File = Given.Patch};
        }}},
      {"service delete",
       {1, Needs::Version, "service delete NAME --version N",
        [](const Operands &Given) -> Command {
          return DeleteService{.Name = ServiceName(Given.Words[0]),
                               .Version = Given.Version};
        }}},
      {"service wait",
       {1, Needs::Version, "service wait NAME --version N",
        [](const Operands &Given) -> Command {
          return WaitForService{.Name = ServiceName(Given.Words[0]),
                                .Version = Given.Version};
        }}},
      {"submission",
       {2, Needs::Nothing, "submission NAME ID",
        [](const Operands &Given) -> Command {
          return ShowSubmission{.Name = ServiceName(Given.Words[0]),
                                .Id = SubmissionId(Given.Words[1])};
        }}},
      {"vms",
       {0, Needs::Nothing, "vms",
        [](const Operands &) -> Command { return makeView("/v1/vms"); }}},
      {"ownership",
       {1, Needs::Nothing, "ownership NAME",
        [](const Operands &Given) -> Command {
          return makeServiceView("/v1/ownership", Given.Words[0]);
        }}},
      {"backends",
       {1, Needs::Nothing, "backends NAME",
        [](const Operands &Given) -> Command {
          return makeServiceView("/v1/backends", Given.Words[0]);
        }}},
      {"drains",
       {0, Needs::Nothing, "drains",
        [](const Operands &) -> Command { return makeView("/v1/drains"); }}},
      {"coverage",
       {0, Needs::Nothing, "coverage",
        [](const Operands &) -> Command { return makeView("/v1/coverage"); }}},
      {"histograms",
       {0, Needs::Nothing, "histograms",
        [](const Operands &) -> Command {
          return makeView("/v1/histograms");
        }}},
      {"stop",
       {0, Needs::Nothing, "stop",
        [](const Operands &) -> Command { return StopVm(); }}},
  };
  return Known;
}

} // namespace

const Syntax *findSyntax(std::string_view Name) {
  auto Found = commands().find(Name);
  return Found == commands().end() ? nullptr : &Found->second;
}

} // namespace carawaypond::ctl

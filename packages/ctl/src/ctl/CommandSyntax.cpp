#include "ctl/CommandSyntax.h"

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

using CommandTable = std::map<std::string, CommandSyntax, std::less<>>;

const CommandTable &commands() {
  static const CommandTable Known = {
      {"check",
       {1, RequiredOptions::Nothing, "check FILE|- [--against FILE|-]",
        [](const Operands &Input) -> Command {
          return CheckConfig{.File = Input.Words[0], .InForce = Input.Against};
        },
        true}},
      {"service create",
       {1, RequiredOptions::Nothing, "service create FILE",
        [](const Operands &Input) -> Command {
          return CreateService{.File = Input.Words[0]};
        }}},
      {"service get",
       {1, RequiredOptions::Nothing, "service get NAME",
        [](const Operands &Input) -> Command {
          return makeView("/v1/services/" +
                          http::percentEncode(Input.Words[0]));
        }}},
      {"service list",
       {0, RequiredOptions::Nothing, "service list",
        [](const Operands &) -> Command { return makeView("/v1/services"); }}},
      {"service patch",
       {1, RequiredOptions::VersionAndPatch,
        "service patch NAME --version N --patch FILE|-",
        [](const Operands &Input) -> Command {
          return PatchService{.Name = ServiceName(Input.Words[0]),
                              .Version = Input.Version,
                              .File = Input.Patch};
        }}},
      {"service delete",
       {1, RequiredOptions::Version, "service delete NAME --version N",
        [](const Operands &Input) -> Command {
          return DeleteService{.Name = ServiceName(Input.Words[0]),
                               .Version = Input.Version};
        }}},
      {"service wait",
       {1, RequiredOptions::Version, "service wait NAME --version N",
        [](const Operands &Input) -> Command {
          return WaitForService{.Name = ServiceName(Input.Words[0]),
                                .Version = Input.Version};
        }}},
      {"submission",
       {2, RequiredOptions::Nothing, "submission NAME ID",
        [](const Operands &Input) -> Command {
          return ShowSubmission{.Name = ServiceName(Input.Words[0]),
                                .Id = SubmissionId(Input.Words[1])};
        }}},
      {"vms",
       {0, RequiredOptions::Nothing, "vms",
        [](const Operands &) -> Command { return makeView("/v1/vms"); }}},
      {"ownership",
       {1, RequiredOptions::Nothing, "ownership NAME",
        [](const Operands &Input) -> Command {
          return makeServiceView("/v1/ownership", Input.Words[0]);
        }}},
      {"backends",
       {1, RequiredOptions::Nothing, "backends NAME",
        [](const Operands &Input) -> Command {
          return makeServiceView("/v1/backends", Input.Words[0]);
        }}},
      {"drains",
       {0, RequiredOptions::Nothing, "drains",
        [](const Operands &) -> Command { return makeView("/v1/drains"); }}},
      {"coverage",
       {0, RequiredOptions::Nothing, "coverage",
        [](const Operands &) -> Command { return makeView("/v1/coverage"); }}},
      {"histograms",
       {0, RequiredOptions::Nothing, "histograms",
        [](const Operands &) -> Command {
          return makeView("/v1/histograms");
        }}},
      {"stop",
       {0, RequiredOptions::Nothing, "stop",
        [](const Operands &) -> Command { return StopVm(); }}},
  };
  return Known;
}

} // namespace

const CommandSyntax *findSyntax(std::string_view Name) {
  auto Found = commands().find(Name);
  return Found == commands().end() ? nullptr : &Found->second;
}

} // namespace carawaypond::ctl

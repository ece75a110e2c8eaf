#include "daemon/app/CommandLine.h"

#include <boost/program_options.hpp>

#include <sstream>

namespace carawaypond::daemon {

namespace options = boost::program_options;

namespace {

options::options_description description() {
  options::options_description Known("Options");
  Known.add_options()("settings", options::value<std::string>(),
                      "settings file in JSON")(
      "gateway", "serve on the users' platform, with its settings file")(
      "balance", options::value<std::string>(),
      "how the gateway chooses replicas: least_cost (default), bounded_share or"
      " bounded_share_across")(
      "report-slow-replicas",
      "with a bounded share: VMs report slow replicas to each other")(
      "check", "check the settings and exit")("help", "print this and exit")(
      "version", "print the version and exit");
  return Known;
}

/// @return The load balance that is given, or the default.
Result<LoadBalance> readBalance(const options::variables_map &Given) {
  if (Given.count("balance") == 0)
    return LoadBalance::LeastCost;
  const auto &Name = Given["balance"].as<std::string>();
  std::optional<LoadBalance> Known = parseLoadBalance(Name);
  if (!Known)
    return failure(ErrorCode::InvalidInput,
                   "--balance must be least_cost, bounded_share or "
                   "bounded_share_across, not \"" +
                       Name + "\"");
  return *Known;
}

} // namespace

Result<CommandLine> parseCommandLine(int Count, const char *const *Values) {
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Values, description()),
                   Given);
  } catch (const options::error &Failed) {
    return failure(ErrorCode::InvalidInput, Failed.what());
  }
  if (Given.count("help") > 0)
    return CommandLine{.Mode = Task::ShowHelp};
  if (Given.count("version") > 0)
    return CommandLine{.Mode = Task::ShowVersion};
  Task What = Given.count("check") > 0 ? Task::CheckSettings : Task::Serve;
  bool IsGateway = Given.count("gateway") > 0;
  bool HasSettings = Given.count("settings") > 0;
  if (IsGateway == HasSettings)
    return failure(ErrorCode::InvalidInput,
                   "either --settings FILE or --gateway is needed");
  bool HasBalance =
      Given.count("balance") > 0 || Given.count("report-slow-replicas") > 0;
  if (HasSettings && HasBalance)
    return failure(
        ErrorCode::InvalidInput,
        "--balance and --report-slow-replicas go with --gateway only");
  Result<LoadBalance> Balance = readBalance(Given);
  if (!Balance)
    return boost::outcome_v2::failure(Balance.error());
  bool Reports = Given.count("report-slow-replicas") > 0;
  if (Reports && Balance.value() == LoadBalance::LeastCost)
    return failure(ErrorCode::InvalidInput,
                   "--report-slow-replicas needs --balance bounded_share or "
                   "bounded_share_across");
  if (IsGateway)
    return CommandLine{.Mode = What,
                       .IsGateway = true,
                       .Balance = Balance.value(),
                       .ReportsSlowReplicas = Reports};
  return CommandLine{.Mode = What,
                     .SettingsPath = Given["settings"].as<std::string>()};
}

std::string helpText() {
  std::ostringstream Out;
  Out << "carawaypond: query tier over many shards\n\n"
      << "Usage: carawaypond --settings FILE [--check]\n"
      << "       carawaypond --gateway [--balance NAME "
         "[--report-slow-replicas]]"
      << " [--check]\n\n"
      << description() << "\nSIGTERM and SIGINT begin a graceful stop.\n\n"
      << "Exit codes: 0 stopped or checked, 2 wrong usage, 3 invalid settings,"
      << " 4 an address can't be listened on.\n";
  return Out.str();
}

} // namespace carawaypond::daemon

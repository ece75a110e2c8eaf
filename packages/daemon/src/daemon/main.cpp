#include "core/signal/StopSignals.h"
#include "daemon/app/CommandLine.h"
#include "daemon/app/Daemon.h"
#include "daemon/log/Log.h"
#include "daemon/settings/Settings.h"
#include "gateway/gateway.h"

#include <fstream>
#include <iostream>
#include <iterator>

using namespace carawaypond;
using namespace carawaypond::daemon;

namespace {

constexpr const char *Version = "0.1.0";

int finish(ExitCode Code) { return static_cast<int>(Code); }

int fail(ExitCode Code, const Error &Failure) {
  std::cerr << "carawaypond: " << Failure.Message << '\n';
  return finish(Code);
}

int serve(Settings Config) {
  auto Opened = Daemon::open(std::move(Config));
  if (!Opened)
    return fail(ExitCode::CannotListen, Opened.error());
  const DaemonAddresses &At = Opened.value()->addresses();
  std::cout << "listening callers=" << At.Callers
            << " operators=" << At.Operators << " peers=" << At.Peers
            << std::endl;
  Opened.value()->run();
  return finish(ExitCode::Ok);
}

Result<adapter::SiteSettings> loadSiteSettings() {
  Result<std::string> Path = adapter::settingsPath();
  if (!Path)
    return boost::outcome_v2::failure(Path.error());
  std::ifstream File(Path.value());
  if (!File)
    return failure(ErrorCode::NotFound, Path.value() + " can't be read");
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  return adapter::parseSiteSettings(Text);
}

/// @brief Runs the gateway on the users' platform, which provides the path of
/// the settings file.
int runGateway(bool IsCheck, gateway::GatewayOptions Options) {
  Result<adapter::SiteSettings> Settings = loadSiteSettings();
  if (!Settings)
    return fail(ExitCode::InvalidSettings, Settings.error());
  if (IsCheck) {
    std::cout << "settings are valid\n";
    return finish(ExitCode::Ok);
  }
  auto Opened = gateway::Gateway::open(std::move(Settings.value()), Options);
  if (!Opened)
    return fail(ExitCode::CannotListen, Opened.error());
  Opened.value()->run();
  return finish(ExitCode::Ok);
}

} // namespace

int main(int Count, char **Values) {
  // Unblocked once the loop handles them: Gateway::run(), Daemon::run().
  blockStopSignals();
  Result<CommandLine> Asked = parseCommandLine(Count, Values);
  if (!Asked)
    return fail(ExitCode::Usage, Asked.error());
  if (Asked.value().Mode == Task::ShowHelp) {
    std::cout << helpText();
    return finish(ExitCode::Ok);
  }
  if (Asked.value().Mode == Task::ShowVersion) {
    std::cout << "carawaypond " << Version << '\n';
    return finish(ExitCode::Ok);
  }
  if (Asked.value().IsGateway)
    return runGateway(
        Asked.value().Mode == Task::CheckSettings,
        {.Balance = Asked.value().Balance,
         .ReportsSlowReplicas = Asked.value().ReportsSlowReplicas});
  Result<Settings> Config = loadSettings(Asked.value().SettingsPath);
  if (!Config)
    return fail(ExitCode::InvalidSettings, Config.error());
  if (Asked.value().Mode == Task::CheckSettings) {
    std::cout << "settings are valid\n";
    return finish(ExitCode::Ok);
  }
  if (Result<void> Log = configureLog(Config.value().Log); !Log)
    return fail(ExitCode::InvalidSettings, Log.error());
  return serve(std::move(Config.value()));
}

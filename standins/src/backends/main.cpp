#include "backends/server/ControlServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace carawaypond;
using namespace carawaypond::standins;

namespace {

constexpr std::uint64_t DefaultSeed = 1;

Result<Deployment> loadDeployment(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return failure(ErrorCode::NotFound, "cannot open \"" + Path + "\"");
  auto Json = nlohmann::json::parse(File, nullptr, false);
  if (Json.is_discarded())
    return failure(ErrorCode::Malformed, "\"" + Path + "\" is not JSON");
  return parseDeployment(Json);
}

boost::asio::awaitable<void> announceWhenReady(Fleet &Servers) {
  co_await Servers.publishAll();
  std::cout << "ready " << Servers.servers().size() << " servers" << std::endl;
}

int fail(const Error &Failure) {
  std::cerr << Failure.Message << std::endl;
  return 1;
}

int run(const options::variables_map &Given) {
  Result<Deployment> Plan =
      loadDeployment(Given["deployment"].as<std::string>());
  if (!Plan)
    return fail(Plan.error());
  boost::asio::io_context Io(1);
  Fleet Servers(Io, Plan.value(),
                {.Platform = Given["platform"].as<std::string>(),
                 .Seed = Given["seed"].as<std::uint64_t>()});
  ControlServer Control(Io, {.Port = Given["control-port"].as<std::uint16_t>()},
                        Servers);
  Result<void> Started = Control.start();
  if (Started)
    Started = Servers.open();
  if (!Started)
    return fail(Started.error());
  std::cout << "control 127.0.0.1:" << Control.port() << std::endl;
  boost::asio::co_spawn(Io, announceWhenReady(Servers), boost::asio::detached);
  Io.run();
  return 0;
}

options::options_description knownOptions() {
  options::options_description Known("Stand-in for backend servers");
  Known.add_options()("help", "show this text")(
      "deployment", options::value<std::string>()->required(),
      "deployment file")("platform", options::value<std::string>()->required(),
                         "ip:port of the Object API")(
      "control-port", options::value<std::uint16_t>()->default_value(0),
      "port of the control interface; 0 lets the system choose a free port")(
      "seed", options::value<std::uint64_t>()->default_value(DefaultSeed),
      "random seed of service times, lags and faults");
  return Known;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Known = knownOptions();
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    if (Given.contains("help")) {
      std::cout << Known << std::endl;
      return 0;
    }
    options::notify(Given);
  } catch (const options::error &Failure) {
    std::cerr << Failure.what() << std::endl;
    return 2;
  }
  return run(Given);
}

#include "platform/PlatformServer.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

namespace options = boost::program_options;
using namespace carawaypond;
using namespace carawaypond::standins;

namespace {

constexpr std::uint64_t DefaultSeed = 1;

int run(const options::variables_map &Given) {
  boost::asio::io_context Io(1);
  HttpServerOptions Options{.Port = Given["port"].as<std::uint16_t>()};
  PlatformServer Server(Io, Options, Given["seed"].as<std::uint64_t>());
  Result<void> Started = Server.start();
  if (!Started) {
    std::cerr << Started.error().Message << std::endl;
    return 1;
  }
  std::cout << "listening 127.0.0.1:" << Server.port() << std::endl;
  Io.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Known("Stand-in for the platform");
  Known.add_options()("help", "show this text")(
      "port", options::value<std::uint16_t>()->default_value(0),
      "port to listen on; 0 lets the system choose a free port")(
      "seed", options::value<std::uint64_t>()->default_value(DefaultSeed),
      "random seed of the injected faults");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    options::notify(Given);
  } catch (const options::error &Failure) {
    std::cerr << Failure.what() << std::endl;
    return 2;
  }
  if (Given.contains("help")) {
    std::cout << Known << std::endl;
    return 0;
  }
  return run(Given);
}

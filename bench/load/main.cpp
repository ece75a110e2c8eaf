#include "LoadPlan.h"
#include "LoadRun.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace {

using namespace carawaypond;
using namespace carawaypond::bench;
namespace po = boost::program_options;

constexpr int UsageError = 2;

int runPlan(const std::string &Path) {
  Result<LoadPlan> Plan = loadPlan(Path);
  if (!Plan) {
    std::cerr << Plan.error().Message << '\n';
    return UsageError;
  }
  boost::asio::io_context Io(1);
  LoadRun Run(Io, std::move(Plan.value()));
  Result<void> Done = Run.run();
  if (!Done) {
    std::cerr << Done.error().Message << '\n';
    return 1;
  }
  std::cout << Run.report() << std::endl;
  return 0;
}

} // namespace

/// Sends the queries of a plan and prints a report of one JSON line.
int main(int Argc, char **Argv) {
  po::options_description Options("carawaypond-bench-load");
  Options.add_options()("help", "print this")("plan", po::value<std::string>(),
                                              "the plan, a JSON file");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Options), Given);
  po::notify(Given);
  if (Given.count("plan") == 0U) {
    std::cout << Options;
    return Given.count("help") != 0U ? 0 : UsageError;
  }
  return runPlan(Given["plan"].as<std::string>());
}

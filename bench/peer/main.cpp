#include "Transports.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using namespace carawaypond;
using namespace carawaypond::bench;
namespace po = boost::program_options;

constexpr std::size_t BatchSizes[] = {1, 4, 16, 64};

} // namespace

/// Prints one JSON line for each transport and batch size.
int main(int Argc, char **Argv) {
  po::options_description Options("carawaypond-bench-peer");
  Options.add_options()("help", "print this")(
      "seconds", po::value<int>()->default_value(2), "length of each run")(
      "in-flight", po::value<std::size_t>()->default_value(256),
      "subrequests in flight")("rounds", po::value<int>()->default_value(1),
                               "how often all is measured");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Options), Given);
  po::notify(Given);
  if (Given.count("help") != 0U) {
    std::cout << Options;
    return 0;
  }
  Workload Load;
  Load.InFlight = Given["in-flight"].as<std::size_t>();
  Load.Length = std::chrono::seconds(Given["seconds"].as<int>());
  for (int Round = 0; Round < Given["rounds"].as<int>(); ++Round) {
    for (std::size_t BatchSize : BatchSizes) {
      Load.BatchSize = BatchSize;
      std::cout << measurePeerNode(Load) << std::endl;
      std::cout << measureFramedSocket(Load) << std::endl;
    }
  }
  return 0;
}

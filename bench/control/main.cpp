#include "ControlFleet.h"
#include "CpuTimer.h"
#include "DecisionCosts.h"
#include "FleetContent.h"
#include "MemoryCosts.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>

namespace {

using namespace carawaypond;
using namespace carawaypond::bench;
namespace po = boost::program_options;

constexpr int WarmUpSteps = 8;
constexpr int MeasuredSteps = 20;
constexpr std::size_t ListedServices[] = {10, 100, 1000, 10'000};

void measureFleet(const FleetSize &Size) {
  ControlFleet Fleet(Size);
  for (int I = 0; I < WarmUpSteps; ++I)
    Fleet.step();
  Fleet.resetCounts();
  CpuTimer Timer;
  for (int I = 0; I < MeasuredSteps; ++I)
    Fleet.step();
  double Cpu = Timer.microseconds();
  std::chrono::duration<double> Seconds =
      ControlFleet::period() * MeasuredSteps;
  double NodeSeconds = Seconds.count() * static_cast<double>(Size.vms());
  const FleetCounts &Counts = Fleet.counts();
  nlohmann::json Line{
      {"measure", "fleet"},
      {"centres", Size.Centres},
      {"vms_per_centre", Size.VmsPerCentre},
      {"known_vms", Size.KnownVms},
      {"services", Size.Services},
      {"replicas", Size.Replicas},
      {"changes_per_s", Size.ChangesPerSecond},
      {"versions_move", Size.VersionsAdvance},
      {"cpu_us_per_s", Cpu / NodeSeconds},
      {"exchanges_per_s", static_cast<double>(Counts.Exchanges) / NodeSeconds},
      {"digest_bytes_per_s",
       static_cast<double>(Counts.DigestBytes) / NodeSeconds},
      {"lists_per_s",
       static_cast<double>(Counts.ServiceLists) / Seconds.count()}};
  std::cout << Line << std::endl;
}

/// Measures parsing one list of all services from the JSON of each object, as a
/// watcher does.
void measureList() {
  for (std::size_t Count : ListedServices) {
    std::vector<std::string> Objects;
    std::size_t Bytes = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      Objects.push_back(toJson(makeService(I, MaxSubmissionHistory)).dump());
      Bytes += Objects.back().size();
    }
    CpuTimer Timer;
    for (const std::string &Object : Objects)
      static_cast<void>(parseStoredService(nlohmann::json::parse(Object)));
    nlohmann::json Line{{"measure", "list"},
                        {"services", Count},
                        {"bytes", Bytes},
                        {"cpu_us", Timer.microseconds()}};
    std::cout << Line << std::endl;
  }
}

void measureFleets() {
  for (std::size_t Vms : {8, 16, 32, 64, 79})
    measureFleet({.VmsPerCentre = Vms});
  for (std::size_t Centres : {2, 4, 8, 16, 34})
    measureFleet({.Centres = Centres, .VmsPerCentre = 8});
  for (std::size_t Known : {300, 1000, 2621})
    measureFleet({.VmsPerCentre = 16, .KnownVms = Known});
  for (std::size_t Services : {10, 1000, 3000, 10'000})
    measureFleet({.Services = Services});
  for (std::size_t Replicas : {100, 3000, 10'000, 30'000})
    measureFleet({.Replicas = Replicas});
  for (double Changes : {0.1, 1.0, 10.0})
    measureFleet({.Services = 1000, .ChangesPerSecond = Changes});
  measureFleet({.Services = 1000, .Replicas = 10'000, .VersionsAdvance = true});
}

} // namespace

/// Prints one JSON line for each measurement.
int main(int Argc, char **Argv) {
  po::options_description Options("carawaypond-bench-control");
  Options.add_options()("help", "print this")(
      "what", po::value<std::string>()->default_value("all"),
      "fleet, list, memory, decisions or all");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Options), Given);
  po::notify(Given);
  if (Given.count("help") != 0U) {
    std::cout << Options;
    return 0;
  }
  std::string What = Given["what"].as<std::string>();
  bool IsAll = What == "all";
  if (IsAll || What == "memory")
    measureMemory(std::cout);
  if (IsAll || What == "list")
    measureList();
  if (IsAll || What == "decisions")
    measureDecisions(std::cout);
  if (IsAll || What == "fleet")
    measureFleets();
  return 0;
}

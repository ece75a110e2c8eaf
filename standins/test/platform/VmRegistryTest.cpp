#include "platform/VmRegistry.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace carawaypond;
using namespace carawaypond::standins;

namespace {

VmRegistry::Vms oneVm() {
  return parseVms(nlohmann::json::parse(R"({"vms": [
    {"name": "vm-1", "data_centre": "umea-a", "address": "127.0.0.1:7201",
     "state": "live"}]})"))
      .value();
}

} // namespace

TEST_CASE("the VM list is published after the lag") {
  VmRegistry Vms;
  TimePoint Start{};
  Vms.replace(oneVm(), Start);
  CHECK(Vms.published(Start).size() == 1);
  Vms.setLag(Milliseconds(100));
  REQUIRE(Vms.setLeaving("vm-1", true, Start));
  CHECK_FALSE(Vms.published(Start + Milliseconds(99)).at("vm-1").Leaving);
  CHECK(Vms.published(Start + Milliseconds(100)).at("vm-1").Leaving);
}

TEST_CASE("a shorter lag does not overtake an earlier change") {
  VmRegistry Vms;
  TimePoint Start{};
  Vms.setLag(Milliseconds(100));
  Vms.replace(oneVm(), Start);
  Vms.setLag(Milliseconds(0));
  REQUIRE(Vms.remove("vm-1", Start));
  CHECK(Vms.published(Start + Milliseconds(99)).empty());
  CHECK(Vms.published(Start + Milliseconds(100)).empty());
}

TEST_CASE("a VM that is not listed can't change") {
  VmRegistry Vms;
  CHECK_FALSE(Vms.setLeaving("vm-1", true, TimePoint{}));
  CHECK_FALSE(Vms.remove("vm-1", TimePoint{}));
}

TEST_CASE("a VM's state is live or leaving") {
  nlohmann::json List = toJson(oneVm());
  List["vms"][0]["state"] = "gone";
  CHECK_FALSE(parseVms(List));
}

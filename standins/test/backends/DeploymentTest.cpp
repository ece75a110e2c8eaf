#include "backends/deployment/ServicePlan.h"

#include "support/Plans.h"

#include <set>

using namespace carawaypond;
using namespace carawaypond::standins;

TEST_CASE("numbered services get names with two digits") {
  nlohmann::json File = smallDeployment();
  File["shapes"][0]["services"] = 10U;
  std::vector<ServicePlan> Plans = planServices(parseDeployment(File).value());
  REQUIRE(Plans.size() == 10);
  CHECK(Plans.front().Index.Name == "claims-01");
  CHECK(Plans.back().Index.Name == "claims-10");
}

TEST_CASE("the replicas of a shard are in different data centres") {
  ServicePlan Plan = smallPlan();
  for (const ShardReplicas &Shard : Plan.Index.Layouts.front().Shards) {
    std::set<DataCentre> Centres;
    for (const ServerName &Replica : Shard.Replicas)
      Centres.insert(Plan.Index.findServer(Replica)->Centre);
    CHECK(Centres.size() == 2);
  }
}

TEST_CASE("servers may hold several shards") {
  nlohmann::json File = smallDeployment();
  File["shapes"][0]["shards_per_server"] = 2U;
  ServicePlan Plan = planServices(parseDeployment(File).value()).front();
  CHECK(Plan.Index.Servers.size() == 2);
  CHECK(Plan.Index.Layouts.front().Shards.size() == 2);
}

TEST_CASE("a planned index is a valid index object") {
  ServicePlan Plan = smallPlan();
  for (ServerInfo &Server : Plan.Index.Servers)
    Server.Address = "127.0.0.1:1";
  Result<IndexObject> Read = parseIndexObject(toJson(Plan.Index), 0);
  REQUIRE(Read);
  CHECK(Read.value() == Plan.Index);
}

TEST_CASE("an error for an unknown field gives its path") {
  nlohmann::json File = smallDeployment();
  File["shapes"][0]["service_time"]["median"] = 1;
  Result<Deployment> Read = parseDeployment(File);
  REQUIRE(!Read);
  CHECK(Read.error().Message.find("/shapes/0/service_time/median") !=
        std::string::npos);
}

#pragma once

#include "backends/deployment/ServicePlan.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace carawaypond::standins {

/// @brief A deployment file with one service of two shards and two replicas.
inline nlohmann::json smallDeployment() {
  return nlohmann::json::parse(R"({
    "name": "test", "data_centres": ["umea-a", "umea-b"],
    "versions": {"first": 10, "kept": 3, "max_lag": 0},
    "shapes": [{"name": "claims", "records": "claims", "shards": 2,
                "replicas": 2, "slots": 1, "connections": 4, "queue": 1,
                "service_time": {"median_us": 0, "sigma": 0}}]})");
}

/// @brief The only service of smallDeployment().
inline ServicePlan smallPlan() {
  return planServices(parseDeployment(smallDeployment()).value()).front();
}

inline constexpr VersionOptions SmallVersions{
    .First = 10, .Kept = 3, .MaxLag = 0};

} // namespace carawaypond::standins

#pragma once

#include "backends/deployment/ServiceShape.h"
#include "backends/deployment/VersionOptions.h"
#include "core/id/Ids.h"
#include "core/outcome/Result.h"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace carawaypond::standins {

/// @brief All backend servers of one operator.
struct Deployment {
  std::vector<DataCentre> DataCentres;
  VersionOptions Versions;
  std::vector<ServiceShape> Shapes;
};

/// @brief Parses a deployment file.
/// @return The deployment, or InvalidInput naming the JSON path.
[[nodiscard]] Result<Deployment> parseDeployment(const nlohmann::json &File);

} // namespace carawaypond::standins

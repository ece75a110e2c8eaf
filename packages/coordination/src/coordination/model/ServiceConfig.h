#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief A class of callers and its part of a service.
struct CallerClass {
  ClassName Name;
  double Share = 1.0;         ///< Part of the service's capacity, 0 to 1.
  Milliseconds Deadline{110}; ///< Used when a query names none.

  friend bool operator==(const CallerClass &, const CallerClass &) = default;
};

/// @brief Limits on one service's queries at one VM.
struct ServiceLimits {
  std::uint32_t ConcurrentQueries = 200;
  std::uint32_t RequestBytes = 65536;

  friend bool operator==(const ServiceLimits &,
                         const ServiceLimits &) = default;
};

/// @brief The content of a service's configuration, as operators write it.
struct ServiceConfig {
  ServiceName Name;
  std::string Index; ///< Name of the index object that it searches.
  std::vector<CallerClass> Classes;
  ServiceLimits Limits;
  double ExtraLoadRatio = 0.05; ///< Hedges and retries per subrequest.
  double ExtraLoadBurst = 10;   ///< Extra subrequests that may be saved up.
  double HedgeQuantile = 0.95;  ///< Latency quantile after which to hedge.

  friend bool operator==(const ServiceConfig &,
                         const ServiceConfig &) = default;
};

/// @brief Reads a service's content and checks it.
/// @return The configuration, or InvalidInput naming the JSON path, the value
/// and what is allowed.
[[nodiscard]] Result<ServiceConfig>
parseServiceConfig(const nlohmann::json &Content);

/// @brief Writes @p Config as parseServiceConfig() reads it.
[[nodiscard]] nlohmann::json toJson(const ServiceConfig &Config);

} // namespace carawaypond

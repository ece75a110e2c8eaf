#pragma once

#include "core/id/Ids.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypond {

/// @brief A class of callers and its share of a service.
struct CallerClass {
  ClassName Name;
  double Share = 1.0;         ///< Share of the service's capacity, 0 to 1.
  Milliseconds Deadline{110}; ///< Default for queries without a deadline.

  friend bool operator==(const CallerClass &, const CallerClass &) = default;
};

/// @brief Limits on one service's queries on one VM.
struct ServiceLimits {
  std::uint32_t ConcurrentQueries = 200;
  std::uint32_t RequestBytes = 65536;

  friend bool operator==(const ServiceLimits &,
                         const ServiceLimits &) = default;
};

/// @brief The content of a service's configuration as written by operators.
struct ServiceConfig {
  ServiceName Name;
  std::string Index; ///< Name of the index object to search.
  std::vector<CallerClass> Classes;
  ServiceLimits Limits;
  double ExtraLoadRatio = 0.05; ///< Hedges and retries per subrequest.
  double ExtraLoadBurst = 10;   ///< Maximum of unused extra subrequests kept.
  double HedgeQuantile = 0.95;  ///< Latency quantile after which to hedge.

  friend bool operator==(const ServiceConfig &,
                         const ServiceConfig &) = default;
};

/// @brief Reads and validates a service's content.
/// @return The configuration, or InvalidInput with the JSON path, the value and
/// what is allowed.
[[nodiscard]] Result<ServiceConfig>
parseServiceConfig(const nlohmann::json &Content);

/// @brief Writes @p Config in the format of parseServiceConfig().
[[nodiscard]] nlohmann::json toJson(const ServiceConfig &Config);

} // namespace carawaypond

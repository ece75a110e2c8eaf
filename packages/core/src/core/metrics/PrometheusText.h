#pragma once

#include <string>
#include <string_view>

namespace carawaypond {

class LatencyHistogram;

/// @return `name="value"`, with the value's special characters escaped.
[[nodiscard]] std::string prometheusLabel(std::string_view Name,
                                          std::string_view Value);

/// @brief Appends a histogram in the Prometheus text format.
/// @param Name The complete name of the metric.
/// @param Labels Labels as returned by prometheusLabel(), separated by commas.
void appendHistogram(std::string &To, std::string_view Name,
                     std::string_view Labels,
                     const LatencyHistogram &Histogram);

} // namespace carawaypond

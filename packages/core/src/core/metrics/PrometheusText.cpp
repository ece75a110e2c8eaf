#include "core/metrics/PrometheusText.h"

#include "core/metrics/LatencyHistogram.h"

#include <sstream>

namespace carawaypond {

std::string prometheusLabel(std::string_view Name, std::string_view Value) {
  std::string Label(Name);
  Label += "=\"";
  for (char C : Value) {
    if (C == '\n') {
      Label += "\\n";
      continue;
    }
    if (C == '"' || C == '\\')
      Label += '\\';
    Label += C;
  }
  return Label + "\"";
}

void appendHistogram(std::string &To, std::string_view Name,
                     std::string_view Labels,
                     const LatencyHistogram &Histogram) {
  std::ostringstream Out;
  for (std::size_t I = 0; I < LatencyBucketsMillis.size(); ++I)
    Out << Name << "_bucket{" << Labels << ",le=\"" << LatencyBucketsMillis[I]
        << "\"} " << Histogram.cumulative(I) << '\n';
  Out << Name << "_bucket{" << Labels << ",le=\"+Inf\"} " << Histogram.count()
      << '\n';
  Out << Name << "_sum{" << Labels << "} " << Histogram.sum() << '\n';
  Out << Name << "_count{" << Labels << "} " << Histogram.count() << '\n';
  To += Out.str();
}

} // namespace carawaypond

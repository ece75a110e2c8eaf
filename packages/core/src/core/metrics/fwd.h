#pragma once

namespace carawaypond {

class LatencyHistogram;

} // namespace carawaypond

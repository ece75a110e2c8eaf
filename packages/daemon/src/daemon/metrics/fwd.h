#pragma once

namespace carawaypond::daemon {

class Counters;
class Metrics;

} // namespace carawaypond::daemon

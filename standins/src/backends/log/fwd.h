#pragma once

namespace carawaypond::standins {

class RunLog;
enum class RunEvent;
struct RunLogEntry;

} // namespace carawaypond::standins

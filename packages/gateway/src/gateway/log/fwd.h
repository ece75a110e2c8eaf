#pragma once

namespace carawaypond::gateway {

struct EventLogOptions;
class EventLog;
class LogLine;

} // namespace carawaypond::gateway

#pragma once

namespace carawaypond::daemon {

struct LogSettings;

} // namespace carawaypond::daemon

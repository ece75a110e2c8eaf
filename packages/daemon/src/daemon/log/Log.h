#pragma once

#include "core/outcome/Result.h"
#include "daemon/settings/Settings.h"

#include <log4cxx/logger.h>

namespace carawaypond::daemon {

/// @brief Sets the level and the destination of the log from the settings.
/// @return InvalidInput if the log file can't be written.
[[nodiscard]] Result<void> configureLog(const LogSettings &Settings);

/// @brief The daemon's logger. Only changes of state are logged; frequent
/// events are counted in metrics instead.
[[nodiscard]] const log4cxx::LoggerPtr &logger();

} // namespace carawaypond::daemon

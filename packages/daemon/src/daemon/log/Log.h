#pragma once

#include "core/outcome/Result.h"
#include "daemon/settings/Settings.h"

#include <log4cxx/logger.h>

namespace carawaypond::daemon {

/// @brief Directs the log as the settings say.
[[nodiscard]] Result<void> configureLog(const LogSettings &Settings);

/// @brief The daemon's logger. Lines are written for changes of state only;
/// all that happens often is a counter.
[[nodiscard]] const log4cxx::LoggerPtr &logger();

} // namespace carawaypond::daemon

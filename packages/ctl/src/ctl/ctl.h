#pragma once

/// @file ctl.h
/// @brief Umbrella header of the ctl package, the operators' command line.

#include "ctl/Arguments.h"
#include "ctl/Help.h"
#include "ctl/Report.h"
#include "ctl/Runner.h"

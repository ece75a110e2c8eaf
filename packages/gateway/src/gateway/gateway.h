#pragma once

/// @file gateway.h
/// @brief Umbrella header of the gateway package: the process that serves
/// callers on the users' platform.

#include "gateway/app/Gateway.h"

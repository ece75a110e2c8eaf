#pragma once

/// @file platform.h
/// @brief Umbrella header of the platform package: clients of the Object API
/// and of the VM list.

#include "platform/CallCounts.h"
#include "platform/ListedVm.h"
#include "platform/Object.h"
#include "platform/ObjectClient.h"
#include "platform/VmListClient.h"
#include "platform/WriteOutcome.h"

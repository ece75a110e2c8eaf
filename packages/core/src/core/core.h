#pragma once

/// @file core.h
/// @brief Umbrella header of the core package.

#include "core/id/Ids.h"
#include "core/id/StoreRevision.h"
#include "core/id/StrongId.h"
#include "core/invariant/Invariant.h"
#include "core/metrics/LatencyHistogram.h"
#include "core/metrics/PrometheusText.h"
#include "core/outcome/Error.h"
#include "core/outcome/Result.h"
#include "core/time/Time.h"

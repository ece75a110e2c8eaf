#pragma once

/// @file backend.h
/// @brief Umbrella header of the backend package.

#include "backend/pool/ServerPool.h"
#include "backend/search/SearchCodec.h"
#include "backend/search/SearchOutcome.h"
#include "backend/search/SearchRequest.h"
#include "backend/search/ServerStatus.h"

#pragma once

/// @file fwd.h
/// @brief Forward declarations of the backend package.

#include "backend/pool/fwd.h"
#include "backend/search/fwd.h"

#pragma once

/// @file Message.h
/// @brief Requests and responses.

#include "http/Header.h"
#include "http/Request.h"
#include "http/Response.h"

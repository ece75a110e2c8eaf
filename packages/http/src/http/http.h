#pragma once

/// @file http.h
/// @brief Umbrella header of the http package: a listener and a client over
/// Boost.Beast with limits and deadlines. All objects belong to the one thread
/// that runs their io_context.

#include "http/Client.h"
#include "http/Connection.h"
#include "http/Endpoint.h"
#include "http/ErrorResponse.h"
#include "http/Listener.h"
#include "http/Message.h"
#include "http/PercentCoding.h"

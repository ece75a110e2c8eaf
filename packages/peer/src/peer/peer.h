#pragma once

/// @file peer.h
/// @brief Umbrella header of the peer package: calls between daemons.

#include "peer/message/PeerIdentity.h"
#include "peer/message/PeerQuery.h"
#include "peer/message/PeerQueryAnswer.h"
#include "peer/message/PeerResult.h"
#include "peer/message/PeerSubrequest.h"
#include "peer/message/StoredObject.h"
#include "peer/node/PeerHandlers.h"
#include "peer/node/PeerNode.h"
#include "peer/node/PeerOptions.h"
#include "peer/node/PeerStats.h"
#include "peer/node/RunObserver.h"

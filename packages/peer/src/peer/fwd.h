#pragma once

#include "peer/message/fwd.h"
#include "peer/node/fwd.h"

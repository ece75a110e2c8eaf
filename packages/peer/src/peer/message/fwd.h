#pragma once

namespace carawaypond::peer {

enum class PeerOutcome;
struct PeerIdentity;
struct PeerQuery;
struct PeerQueryAnswer;
struct PeerResult;
struct PeerSubrequest;
struct StoredObject;

} // namespace carawaypond::peer

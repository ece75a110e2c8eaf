#pragma once

namespace carawaypond::peer {

class PeerNode;
struct PeerHandlers;
struct PeerOptions;
struct PeerStats;
struct RunObserver;

} // namespace carawaypond::peer

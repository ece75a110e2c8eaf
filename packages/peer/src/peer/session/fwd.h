#pragma once

namespace carawaypond::peer {

class PeerServer;
class PeerSession;
class SessionTable;

} // namespace carawaypond::peer

#pragma once

namespace carawaypond::peer {

class Backoff;
class LinkTable;
class PeerConnection;
class PeerLink;
class RunTable;

} // namespace carawaypond::peer

#pragma once

namespace carawaypond::gateway {

struct Beat;
struct BeatOptions;
struct PeerState;
class BeatExchange;
class PeerFetcher;

} // namespace carawaypond::gateway

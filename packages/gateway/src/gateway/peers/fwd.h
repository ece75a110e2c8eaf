#pragma once

namespace carawaypond::gateway {

struct EvacuationReport;
struct Heartbeat;
struct HeartbeatOptions;
struct PeerState;
class HeartbeatExchange;
class PeerFetcher;

} // namespace carawaypond::gateway

#pragma once

namespace carawaypond::daemon {

class ControlNode;
class IndexRegistry;
class OperatorApi;
class PeerExchange;
class StoreReader;
class SubmissionRunner;
class VersionTable;
struct ControlState;

} // namespace carawaypond::daemon

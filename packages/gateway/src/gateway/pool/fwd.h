#pragma once

namespace carawaypond::gateway {

struct Exchange;
struct ExchangeFailure;
struct PoolOptions;
class RecentIds;
class ReplicaConnection;
class ReplicaPool;

} // namespace carawaypond::gateway

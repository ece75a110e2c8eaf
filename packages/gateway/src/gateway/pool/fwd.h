#pragma once

namespace carawaypond::gateway {

struct Exchange;
struct ExchangeFailure;
struct PoolOptions;
class ReplicaConnection;
class ReplicaPool;

} // namespace carawaypond::gateway

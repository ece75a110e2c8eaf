#pragma once

namespace carawaypond::backend {

class ServerPool;
struct ServerPoolOptions;
struct ServerPoolStats;

} // namespace carawaypond::backend

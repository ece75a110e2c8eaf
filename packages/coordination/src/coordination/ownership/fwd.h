#pragma once

namespace carawaypond {

class RouteTable;
struct DirectSending;
struct OwnerOfReplica;
struct OwnerOfShard;
struct OwnershipKey;
struct Route;

} // namespace carawaypond

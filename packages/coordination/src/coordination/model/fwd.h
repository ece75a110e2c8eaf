#pragma once

namespace carawaypond {

class JsonReader;
struct CallerClass;
struct IndexLayout;
struct IndexObject;
struct JsonMember;
struct ReplicaVersions;
struct ServerInfo;
struct ServiceConfig;
struct ServiceLimits;
struct ShardReplicas;
struct StoredService;
struct VersionRange;

} // namespace carawaypond

#pragma once

namespace carawaypond {

enum class ReplicaState;
struct ReplicaBookOptions;
struct ReplicaRecord;
class ReplicaBook;

} // namespace carawaypond

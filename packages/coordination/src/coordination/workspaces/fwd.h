#pragma once

namespace carawaypond {

struct Access;
struct IgnoredKey;
struct Workspace;
struct WorkspaceKeys;
class WorkspaceTable;

} // namespace carawaypond

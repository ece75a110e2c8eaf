#pragma once

namespace carawaypond::daemon {

class Daemon;
struct CommandLine;

} // namespace carawaypond::daemon

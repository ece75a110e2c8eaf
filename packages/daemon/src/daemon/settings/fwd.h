#pragma once

namespace carawaypond::daemon {

struct ListenSettings;
struct PolicySettings;
struct Settings;

} // namespace carawaypond::daemon

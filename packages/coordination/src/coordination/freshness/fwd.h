#pragma once

namespace carawaypond {

class Freshness;
struct FreshnessOptions;

} // namespace carawaypond

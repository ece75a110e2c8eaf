#pragma once

namespace carawaypond {

struct QuarantineOptions;
struct QuarantineReport;
struct ReplicaCrash;
class RequestQuarantine;

} // namespace carawaypond

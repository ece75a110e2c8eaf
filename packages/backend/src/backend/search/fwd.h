#pragma once

namespace carawaypond::backend {

struct SearchAnswer;
struct SearchFailed;
struct SearchInDoubt;
struct SearchNotSent;
struct SearchRefused;
struct SearchRequest;
struct ServerStatus;

} // namespace carawaypond::backend

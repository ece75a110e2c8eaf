#pragma once

namespace carawaypond::gateway {

class AdmissionGate;
struct AdmittedRequest;

} // namespace carawaypond::gateway

#pragma once

namespace carawaypond {

enum class AdmissionDecision;
struct AdmissionRequest;
struct AdmissionTicket;
struct LoadSample;
class AdmissionQueue;
class AdmissionRate;
class OverloadControl;
class TargetAdmission;

} // namespace carawaypond

#pragma once

namespace carawaypond {

class AdmissionControl;
class ConcurrencyLimit;
struct Admitted;
struct AdmissionRefused;

} // namespace carawaypond

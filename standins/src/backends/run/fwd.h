#pragma once

namespace carawaypond::standins {

class RunQueue;

class ServiceTime;
enum class Admission;
enum class CancelState;
struct NextRun;
struct ServerFaults;

} // namespace carawaypond::standins

#pragma once

namespace carawaypond::standins {

enum class RecordKind;
struct Deployment;
struct ServicePlan;
struct ServiceShape;
struct ServiceTimeOptions;
struct VersionOptions;

} // namespace carawaypond::standins

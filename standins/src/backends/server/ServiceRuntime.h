#pragma once

#include "backends/deployment/ServicePlan.h"
#include "backends/index/IndexTimeline.h"
#include "backends/records/RecordStore.h"

namespace carawaypond::standins {

/// @brief What all servers of a service share.
struct ServiceRuntime {
  ServiceShape Shape;
  IndexTimeline Timeline;
  RecordStore Records;

  ServiceRuntime(const ServicePlan &Plan, VersionOptions Versions)
      : Shape(Plan.Shape), Timeline(Plan.Index, Versions),
        Records(Plan.Index.Name, Plan.Shape.Records) {}

  [[nodiscard]] const std::string &name() const {
    return Timeline.index().Name;
  }
};

} // namespace carawaypond::standins

#pragma once

namespace carawaypond::ctl {

class RolloutWaiter;
class OperatorClient;
class Submitter;
class Table;
struct GlobalOptions;
struct Invocation;
struct Report;

} // namespace carawaypond::ctl

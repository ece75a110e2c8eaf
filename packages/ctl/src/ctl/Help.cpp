#include "ctl/Help.h"

namespace carawaypond::ctl {

std::string_view helpText() {
  return R"(Usage: carawayctl --operator ADDRESS[,ADDRESS...] [OPTION...] COMMAND

Commands
  service create FILE             create the service that FILE describes
  service get NAME                show a service and its version
  service list                    show all services
  service patch NAME --version N --patch FILE|-
                                  apply a JSON Merge Patch (RFC 7386) if N is
                                  still the current version
  service delete NAME --version N delete the service if N is still current
  service wait NAME --version N   wait until version N is in force on every
                                  live VM
  submission NAME ID              show what became of a submission
  vms                             show the VMs that this VM knows
  ownership NAME                  show which VM owns which replica
  backends NAME                   show the service's backend servers
  drains                          show what is leaving
  coverage                        show the coverage of recent answers
  histograms                      show latencies by service and class
  check FILE|- [--against FILE|-] check a configuration document (the JSON of
                                  the store's spec) before it is sent, and
                                  compare it with the one in force; reads
                                  files only, needs no --operator
  stop                            stop the VM at the one ADDRESS gracefully

Options
  --operator ADDRESS   "ip:port" of a VM's operators' port; may be repeated.
                       The next is tried when one can't be reached
  --json               print the VM's JSON, or the findings of a check as
                       JSON, instead of text
  --timeout-ms N       how long to try in all (default 10000)
  --submission ID      1 to 64 characters from [A-Za-z0-9._-], new for each
                       submission (default: made up, printed on stderr)
  --help, --version    print this, or the program's version

Exit codes
  0  accepted, or answered
  1  check: errors or contradictions
  2  the command line or a file can't be read
  3  refused: another submission came first; read again, then patch
  4  refused: invalid
  5  unknown whether it was accepted; ask with "submission NAME ID"
  6  no such service
  7  no VM took the request; nothing was changed
  8  not in force on every VM before the timeout
)";
}

std::string_view versionText() { return "carawayctl 0.1.0\n"; }

} // namespace carawaypond::ctl

#include "core/signal/StopSignals.h"

#include <csignal>
#include <initializer_list>

namespace carawaypond {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (int Each : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&Signals, Each);
  return Signals;
}

void changeMask(int How) {
  sigset_t Signals = stopSignals();
  // Fails only if How is invalid.
  pthread_sigmask(How, &Signals, nullptr);
}

} // namespace

void blockStopSignals() { changeMask(SIG_BLOCK); }

void unblockStopSignals() { changeMask(SIG_UNBLOCK); }

} // namespace carawaypond

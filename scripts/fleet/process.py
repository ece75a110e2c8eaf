"""A child process that prints its addresses in its first lines of output."""

import os
import signal
import subprocess
import threading
import time


class Process:
    """A started program; its output goes to a log file and to `lines`."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.lines = []
        self.log = open(log_path, "ab", buffering=0)
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE,
                                      stderr=self.log)
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.child.stdout:
            self.log.write(line)
            self.lines.append(line.decode().rstrip("\n"))

    def wait_for(self, prefix, timeout=60.0):
        """Returns the rest of the first line that starts with `prefix`."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for line in list(self.lines):
                if line.startswith(prefix):
                    return line[len(prefix):].strip()
            if self.child.poll() is not None and not self.reader.is_alive():
                break
            time.sleep(0.02)
        raise TimeoutError(
            f"{self.name} did not print \"{prefix}\" within {timeout:.0f} s; "
            f"see {self.log.name}")

    def running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.running():
            os.kill(self.child.pid, number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.child.wait()

    def wait(self, timeout):
        return self.child.wait(timeout)

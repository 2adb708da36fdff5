"""Starts, measures and stops the processes of an experiment."""

import os
import signal
import subprocess
import time
from pathlib import Path

TICKS = os.sysconf('SC_CLK_TCK')
STOP_SECONDS = 25


class Process:
    """A child process whose output goes to a log file; with `capture`, stdout goes to a pipe."""

    def __init__(self, name, arguments, folder, capture=False):
        self.name = name
        self.arguments = [str(a) for a in arguments]
        self.folder = Path(folder)
        self.capture = capture
        self.start()

    def start(self):
        log = open(self.folder / f'{self.name}.log', 'ab')
        self.child = subprocess.Popen(
            self.arguments, cwd=self.folder, stderr=log, start_new_session=True,
            stdout=subprocess.PIPE if self.capture else log, text=self.capture or None)
        log.close()

    @property
    def pid(self):
        return self.child.pid

    def is_alive(self):
        return self.child.poll() is None

    def cpu_seconds(self):
        """CPU time used so far in seconds, user and system."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_bytes(self):
        for line in Path(f'/proc/{self.pid}/status').read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024
        return 0

    def send(self, number):
        if self.is_alive():
            os.kill(self.pid, number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.child.wait()

    def stop(self):
        """Sends SIGTERM, and SIGKILL after `STOP_SECONDS`. Returns the exit code, or None if killed."""
        self.send(signal.SIGTERM)
        return self.await_end()

    def await_end(self):
        try:
            return self.child.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


def stop_all(processes):
    """Stops all processes concurrently, resuming suspended ones first. Returns exit codes by name."""
    for process in processes:
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
    return {process.name: process.await_end() for process in processes}


def wait_until(condition, seconds, description):
    """Polls until `condition()` is true. Raises TimeoutError after `seconds`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f'{description}: not within {seconds} s')
        time.sleep(0.05)

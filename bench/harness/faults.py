"""Faults that several experiments inject."""

import signal
import time

from . import web


def cut(address, is_cut):
    """Cuts or restores all links of one process; requires "testing" in its settings."""
    status, answer = web.post(address, '/test/cut', {'cut': is_cut})
    if status != 200:
        raise RuntimeError(f'/test/cut at {address}: {status} {answer}')


def cut_entry(fleet, vm, is_cut):
    cut(fleet.callers_address(vm), is_cut)


def cut_control(fleet, vm, is_cut):
    cut(next(v['operators'] for v in fleet.deployment.vms() if v['id'] == vm), is_cut)


def freeze(process, seconds):
    """Suspends a process for some seconds, like a long pause of its VM."""
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)


def leader(fleet):
    """Id of the control VM that is the leader, or None."""
    return fleet.operator.status().get('leader')

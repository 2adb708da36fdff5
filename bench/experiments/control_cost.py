"""Measures the control cost of an entry daemon by number of endpoints, daemons and changes, without query load.

The slopes are extrapolated to the required deployment size (`TARGET`). CPU time and memory come
from the operating system. Bytes come from the counters of each daemon by kind of message, because
the operating system does not count them per process.
"""

import copy
import re
import threading
import time

from harness import web
from harness.deployment import Pool
from harness.fleet import Fleet

SECONDS = 10
SETTLE_SECONDS = 3
TARGET = {'daemons': 2800, 'endpoints': 17000, 'changes_per_second': 4400 / 86400}
SLOTS = 2
CONNECTIONS = 25
FIRST_PORT = 30000
CONTROL_KINDS = ('heartbeat', 'heartbeat_reply', 'endpoint_reports')
POINTS = {
    'base': {'daemons': 4, 'endpoints': 120, 'changes': 0},
    'more endpoints': {'daemons': 4, 'endpoints': 960, 'changes': 0},
    'more daemons': {'daemons': 16, 'endpoints': 120, 'changes': 0},
    'more changes': {'daemons': 4, 'endpoints': 120, 'changes': 10},
}


def resize_deployment(deployment, daemons, endpoints):
    """Copies the deployment, with `daemons` VMs and a single pool of `endpoints` endpoints."""
    out = copy.deepcopy(deployment)
    raw = out.raw
    zones = out.zones()
    host = out.host
    vms = []
    for number in range(1, daemons + 1):
        existing = next((vm for vm in raw['vms'] if vm['id'] == number), None)
        vms.append(existing or {'id': number, 'zone': zones[number % len(zones)],
                             'callers': f'{host}:{21000 + number}', 'peers': f'{host}:{22000 + number}'})
    raw['vms'] = vms
    shards = endpoints // 2
    name = raw['pools'][0]['name']
    raw['pools'] = [{'name': name, 'shards': shards, 'replicas': 2, 'endpoints': [
        {'count': endpoints, 'firstAddress': f'{host}:{FIRST_PORT}', 'zones': zones,
         'slots': SLOTS, 'connections': CONNECTIONS, 'connectCostMs': 0}]}]
    raw['callers'] = [caller for caller in raw['callers'] if caller['pool'] == name]
    out.pools = {name: Pool(name, shards, 2, endpoints, SLOTS)}
    out.intents = [i for i in out.intents if i['caller'] == raw['callers'][0]['name']]
    return out


def counters(address):
    """Bytes of one daemon by (direction, kind of message)."""
    text = web.get(address, '/metrics')[1]
    found = re.findall(r'bulrush_link_(sent|received)_bytes_total\{label="(\w+)"\} (\d+)', text)
    return {(way, kind): int(value) for way, kind, value in found}


def make_changes(fleet, rate, end):
    """Updates one intent `rate` times per second, each pushed to every daemon as a delta. Returns the count."""
    intent = dict(fleet.deployment.intents[0])
    for number in range(10 ** 9):
        if rate == 0 or time.monotonic() >= end:
            return number
        begin = time.monotonic()
        intent['weight'] = 1 + number % 50
        fleet.operator.change({'putIntent': intent})
        time.sleep(max(0, 1 / rate - (time.monotonic() - begin)))
    return 0


def measure(folder, deployment, seed, seconds, point):
    resized = resize_deployment(deployment, point['daemons'], point['endpoints'])
    with Fleet(folder, resized, seed, resized.behaviour()) as fleet:
        time.sleep(SETTLE_SECONDS)
        before = {vm: (p.cpu_seconds(), counters(fleet.callers_address(vm))) for vm, p in fleet.entries.items()}
        begin = time.monotonic()
        change_count = [0]
        changer = threading.Thread(
            target=lambda: change_count.__setitem__(0, make_changes(fleet, point['changes'], begin + seconds)))
        changer.start()
        time.sleep(seconds)
        changer.join()
        elapsed = time.monotonic() - begin
        rows = []
        for vm, process in fleet.entries.items():
            cpu, bytes_before = before[vm]
            bytes_now = counters(fleet.callers_address(vm))
            by_kind = {kind: sum(bytes_now.get((way, kind), 0) - bytes_before.get((way, kind), 0)
                                 for way in ('sent', 'received')) / elapsed for kind in CONTROL_KINDS}
            rows.append({'cpu': (process.cpu_seconds() - cpu) / elapsed, 'rss': process.resident_bytes(), **by_kind})
        leader_rss = max(p.resident_bytes() for p in fleet.control.values())
    mean = {key: sum(row[key] for row in rows) / len(rows) for key in rows[0]}
    return {**mean, 'leader_rss': leader_rss, 'changes': change_count[0] / elapsed}


def slope(points, name, key, dimension):
    """Increase of a figure per additional endpoint, daemon or change per second."""
    base, other = points['base'], points[name]
    difference = {'endpoints': POINTS[name]['endpoints'] - POINTS['base']['endpoints'],
          'daemons': POINTS[name]['daemons'] - POINTS['base']['daemons'],
          'changes': other['changes'] - base['changes']}[dimension]
    return (other[key] - base[key]) / difference if difference else 0.0


def at_target(points, key):
    """Extrapolates a figure to the target size. Negative slopes count as 0."""
    value = points['base'][key]
    value += max(0, slope(points, 'more endpoints', key, 'endpoints')) * (
        TARGET['endpoints'] - POINTS['base']['endpoints'])
    value += max(0, slope(points, 'more daemons', key, 'daemons')) * (
        TARGET['daemons'] - POINTS['base']['daemons'])
    value += max(0, slope(points, 'more changes', key, 'changes')) * TARGET['changes_per_second']
    return value


def run(folder, deployment, seed, seconds):
    points = {name: measure(folder / name.replace(' ', '-'), deployment, seed, seconds, point)
              for name, point in POINTS.items()}
    figures = {}
    for name, point in points.items():
        figures[f'{name}: CPU, % of a core'] = 100 * point['cpu']
        figures[f'{name}: resident, MB'] = point['rss'] / 1e6
        for kind in CONTROL_KINDS:
            figures[f'{name}: {kind}, bytes/s'] = point[kind]
    figures['changes a second'] = points['more changes']['changes']
    figures['target: CPU, % of a core'] = 100 * at_target(points, 'cpu')
    figures['target: resident, MB'] = at_target(points, 'rss') / 1e6
    figures['target: KB/s'] = sum(at_target(points, kind) for kind in CONTROL_KINDS) / 1e3
    for kind in CONTROL_KINDS:
        figures[f'target: {kind}, KB/s'] = at_target(points, kind) / 1e3
    return figures

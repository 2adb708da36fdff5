"""Repeatedly kills all control VMs during changes and leaves torn records at the end of their logs.

The oracle applies each change that was reported as accepted to an in-memory model."""

import random
import threading
import time

from harness import web
from harness.fleet import Fleet
from harness.operators import Operator
from harness.processes import wait_until

SECONDS = 60
ROUNDS = 10
CHANGES = 500
CHANGES_BEFORE_KILL = (5, 40)
KILL_SPREAD_SECONDS = 0.3
TORN_BYTES = (1, 400)
READY_LIMIT_SECONDS = 20
STATE_LIMIT_SECONDS = 10
POLL_SECONDS = 0.01
NAMES = 60


class ControlGroup(Fleet):
    """A fleet that runs only the control VMs."""

    def __enter__(self):
        try:
            self.write_settings()
            for vm in self.deployment.control_vms():
                self.start_control(vm['id'])
            self.operator = Operator('oracle', self.addresses())
            return self
        except BaseException:
            self.__exit__()
            raise

    def addresses(self):
        return [vm['operators'] for vm in self.deployment.control_vms()]

    def await_ready(self):
        """Waits until a VM accepts plan requests. Returns the time waited in seconds."""
        begin = time.monotonic()
        body = {'operator': 'ready', 'command': str(time.time_ns()), 'change': {'putIntent': intent('probe', 1)}}

        def accepts_plans():
            for address in self.addresses():
                try:
                    if web.post(address, '/v1/plan', body, seconds=0.5)[0] == 200:
                        return True
                except OSError:
                    pass
            return False

        end = begin + READY_LIMIT_SECONDS
        while not accepts_plans():
            if time.monotonic() > end:
                raise TimeoutError('the control VMs did not become ready')
            time.sleep(POLL_SECONDS)
        return time.monotonic() - begin

    def append_torn_records(self, rng):
        """Appends a truncated record to the logs of random VMs, as a power failure can leave."""
        for vm in self.control:
            if rng.random() < 0.7:
                size = rng.randint(*TORN_BYTES)
                torn = (4096).to_bytes(4, 'little') + rng.randbytes(size)
                with open(self.folder / f'data-{vm}' / 'log', 'ab') as log:
                    log.write(torn[:size])
                self.torn = getattr(self, 'torn', 0) + 1

    def kill_all(self, rng):
        for vm in rng.sample(list(self.control), len(self.control)):
            time.sleep(rng.uniform(0, KILL_SPREAD_SECONDS))
            self.control[vm].kill()

    def start_all(self, rng):
        for vm in rng.sample(list(self.control), len(self.control)):
            self.start_control(vm)


def intent(name, weight):
    return {'name': name, 'caller': '', 'deadlineMs': 100, 'minCoveragePercent': 50, 'weight': weight,
            'extraLoadPercent': 5}


class Oracle:
    """Expected configuration after the accepted changes."""

    def __init__(self, deployment, seed):
        self.rng = random.Random(seed)
        self.zones = deployment.zones()
        self.intents = {}
        self.zones_out = set()
        self.leaving = set()
        self.revision = None

    def next_change(self):
        kind = self.rng.random()
        if kind < 0.1:
            zone = self.rng.choice(self.zones)
            return {'zoneIn' if zone in self.zones_out else 'zoneOut': zone}
        if kind < 0.3:
            endpoint = self.rng.randrange(20)
            return {'endpointReturn' if endpoint in self.leaving else 'endpointLeave': endpoint}
        name = f'intent-{self.rng.randrange(NAMES)}'
        if kind < 0.45 and name in self.intents:
            return {'dropIntent': name}
        return {'putIntent': intent(name, self.rng.randint(1, 9))}

    def apply(self, change):
        (kind, value), = change.items()
        if kind == 'putIntent':
            self.intents[value['name']] = value['weight']
        elif kind == 'dropIntent':
            del self.intents[value]
        elif kind == 'zoneOut':
            self.zones_out.add(value)
        elif kind == 'zoneIn':
            self.zones_out.remove(value)
        elif kind == 'endpointLeave':
            self.leaving.add(value)
        else:
            self.leaving.remove(value)

    def state_of(self, endpoint):
        if endpoint['zone'] in self.zones_out:
            return 'zone_out'
        return 'leaving' if endpoint['id'] in self.leaving else 'in'

    def equals(self, address):
        """Whether the configuration copy of one VM equals the expected configuration."""
        try:
            intents = web.get(address, '/v1/intents', seconds=1)[1]
            zones = web.get(address, '/v1/zones', seconds=1)[1]
            endpoints = web.get(address, '/v1/endpoints', seconds=1)[1]
            return (intents['revision'] == self.revision
                    and {i['name']: i['weight'] for i in intents['intents']} == self.intents
                    and {z['name'] for z in zones['zones'] if z['state'] == 'out'} == self.zones_out
                    and all(e['state'] == self.state_of(e) for e in endpoints['endpoints']))
        except (OSError, TypeError, KeyError):
            return False


class Writer:
    """An operator that makes changes sequentially and retries until each outcome is known."""

    def __init__(self, operator, oracle):
        self.operator = operator
        self.oracle = oracle
        self.accepted = 0
        self.wrong_revisions = 0
        self.failure = None

    def change(self):
        change = self.oracle.next_change()
        while True:
            command = f'c-{time.time_ns()}'
            status, plan = self.operator.ask(
                '/v1/plan', {'operator': self.operator.name, 'command': command, 'change': change})
            if status != 200:
                self.operator.next_address += 1
                time.sleep(0.02)
                continue
            result = self.operator.confirm(command, plan['plan'])
            if result.get('result') == 'accepted':
                break
            if result.get('result') != 'conflict':
                raise RuntimeError(f'{change}: {result}')
        self.oracle.apply(change)
        self.accepted += 1
        expected = None if self.oracle.revision is None else self.oracle.revision + 1
        if expected is not None and result['revision'] != expected:
            self.wrong_revisions += 1
        self.oracle.revision = result['revision']

    def run(self, stop):
        try:
            while not stop.is_set():
                self.change()
        except Exception as error:  # rethrown by crash_round
            self.failure = error


def crash_round(group, writer, oracle, rng):
    """Kills and restarts all VMs during changes. Returns the time until ready in seconds."""
    stop = threading.Event()
    thread = threading.Thread(target=writer.run, args=(stop,))
    target = writer.accepted + rng.randint(*CHANGES_BEFORE_KILL)
    thread.start()
    wait_until(lambda: writer.accepted >= target or writer.failure, READY_LIMIT_SECONDS, 'changes')
    group.kill_all(rng)
    group.append_torn_records(rng)
    group.start_all(rng)
    ready = group.await_ready()
    stop.set()
    thread.join()
    if writer.failure:
        raise writer.failure
    return ready


def wait_for_oracle_state(group, oracle):
    """Waits for all VMs to reach the state of the oracle. Returns the number that did not in time."""
    end = time.monotonic() + STATE_LIMIT_SECONDS
    while True:
        behind = sum(1 for address in group.addresses() if not oracle.equals(address))
        if behind == 0 or time.monotonic() > end:
            return behind
        time.sleep(POLL_SECONDS)


def run(folder, deployment, seed, _):
    rng = random.Random(seed)
    oracle = Oracle(deployment, seed)
    ready, differing = [], 0
    with ControlGroup(folder, deployment, seed) as group:
        first = group.await_ready()
        writer = Writer(group.operator, oracle)
        begin = time.monotonic()
        for _ in range(CHANGES):
            writer.change()
        rate = CHANGES / (time.monotonic() - begin)
        differing += wait_for_oracle_state(group, oracle)
        for _ in range(ROUNDS):
            ready.append(crash_round(group, writer, oracle, rng))
            differing += wait_for_oracle_state(group, oracle)
        log_bytes = max((group.folder / f'data-{vm}' / 'log').stat().st_size for vm in group.control)
        alive = sum(1 for process in group.control.values() if process.is_alive())
        return {
            'confirmed changes': writer.accepted,
            'confirmed changes a second, one operator': rate,
            'rounds': len(ready),
            'states that differ from the oracle': differing,
            'revisions that do not follow': writer.wrong_revisions,
            'control VMs alive at the end': alive,
            'torn tails left': group.torn,
            'first start, s': first,
            'ready again, slowest, s': max(ready),
            'ready again, s': ' '.join(f'{seconds:.2f}' for seconds in ready),
            'largest log file, bytes': log_bytes,
        }

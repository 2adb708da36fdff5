"""20 concurrent operators with lost responses and resends to other VMs, while leaders are killed."""

import random
import threading
import time
from dataclasses import dataclass, field

from harness import faults
from harness import figures as fig
from harness import web
from harness.fleet import Fleet

SECONDS = 30
OPERATORS = 20
THINK_SECONDS = 1.0
LOST_RESPONSE_SHARE = 0.2
LOST_RESPONSE_TIMEOUT_SECONDS = 0.002
REQUEST_TIMEOUT_SECONDS = 5
KILL_EVERY_SECONDS = 6
DOWN_SECONDS = 1
POLL_SECONDS = 0.02
SETTLE_SECONDS = 5
DECIDED = ('accepted', 'conflict', 'invalid', 'reused_id')


@dataclass
class Command:
    """A command and the responses its operator received. Times are monotonic, in seconds."""
    operator: str
    id: str
    base_revision: int
    first_send: float = 0
    sends: int = 0
    lost: int = 0
    results: list = field(default_factory=list)  # (result, revision, receive time)

    def decided(self):
        return [r for r in self.results if r[0] in DECIDED]


class OperatorThread(threading.Thread):
    """An operator that uses a random control VM per request, drops some responses and resends."""

    def __init__(self, number, addresses, zones, seed, end):
        super().__init__(daemon=True)
        self.operator = f'operator-{number}'
        self.addresses = addresses
        self.zones = zones
        self.rng = random.Random(seed * 1000 + number)
        self.end = end
        self.commands = []

    def run(self):
        while time.monotonic() < self.end:
            self.make_change()
            time.sleep(self.rng.uniform(0, 2 * THINK_SECONDS))

    def post(self, path, body, seconds):
        try:
            return web.post(self.rng.choice(self.addresses), path, body, seconds=seconds)
        except OSError:
            return 0, None

    def make_change(self):
        name = f'c-{len(self.commands)}'
        change = {self.rng.choice(['zoneOut', 'zoneIn']): self.rng.choice(self.zones)}
        status, plan = self.post('/v1/plan', {'operator': self.operator, 'command': name, 'change': change},
                                 REQUEST_TIMEOUT_SECONDS)
        if status != 200:
            return
        command = Command(self.operator, name, plan['revision'], time.monotonic())
        self.commands.append(command)
        while not command.decided() and time.monotonic() < self.end + SETTLE_SECONDS:
            self.send(command, plan['plan'])
        if command.decided() and self.rng.random() < LOST_RESPONSE_SHARE:
            self.send(command, plan['plan'])

    def send(self, command, plan):
        is_lost = self.rng.random() < LOST_RESPONSE_SHARE
        body = {'operator': command.operator, 'command': command.id, 'plan': plan,
                'firstSend': command.sends == 0}
        command.sends += 1
        status, answer = self.post('/v1/confirm', body,
                                   LOST_RESPONSE_TIMEOUT_SECONDS if is_lost else REQUEST_TIMEOUT_SECONDS)
        if status == 0:
            command.lost += 1
            time.sleep(0.05)
            return
        command.results.append((answer.get('result'), answer.get('revision'), time.monotonic()))


class Watcher(threading.Thread):
    """Polls the status and records the time and revision of each sample that is in force."""

    def __init__(self, addresses, end):
        super().__init__(daemon=True)
        self.addresses = addresses
        self.end = end
        self.samples = []  # (time, revision in force on all daemons)

    def run(self):
        turn = 0
        while time.monotonic() < self.end:
            turn += 1
            try:
                status, body = web.get(self.addresses[turn % len(self.addresses)], '/v1/status', seconds=1)
            except OSError:
                continue
            if status == 200 and body['state'] == 'in_force':
                self.samples.append((time.monotonic(), body['revision']))
            time.sleep(POLL_SECONDS)

    def in_force_at(self, revision, since):
        return next((when for when, seen in self.samples if seen >= revision and when >= since), None)


def kill_leaders(fleet, end):
    """Kills and restarts the leader every `KILL_EVERY_SECONDS`. Returns the number of kills."""
    kills = 0
    while time.monotonic() < end - KILL_EVERY_SECONDS:
        time.sleep(KILL_EVERY_SECONDS)
        leader = faults.leader(fleet)
        if leader not in fleet.control:
            continue
        fleet.control[leader].kill()
        kills += 1
        time.sleep(DOWN_SECONDS)
        fleet.start_control(leader)
    return kills


def contradictions(commands, history):
    """Lists contradictions between the responses operators received and the accepted history."""
    found = []
    applied = {}
    for entry in history:
        applied.setdefault((entry['operator'], entry['command']), []).append(entry['revision'])
    revisions = [entry['revision'] for entry in history]
    if revisions != list(range(revisions[0], revisions[0] + len(revisions))):
        found.append('revisions with gaps or out of order')
    for command in commands:
        applied_revisions = applied.get((command.operator, command.id), [])
        reported = {(result, revision) for result, revision, _ in command.decided()}
        if len(applied_revisions) > 1:
            found.append(f'{command.operator} {command.id}: took effect {len(applied_revisions)} times')
        if len(reported) > 1:
            found.append(f'{command.operator} {command.id}: told {reported}')
        for result, revision in reported:
            if (result == 'accepted') != (applied_revisions == [revision]):
                found.append(f'{command.operator} {command.id}: told {result} {revision}, history {applied_revisions}')
        if command.sends == 1 and [r[0] for r in command.results] == ['not_run'] and applied_revisions:
            found.append(f'{command.operator} {command.id}: not_run took effect')
    return found + out_of_order(commands)


def out_of_order(commands):
    """Lists violations of real-time order: a command accepted before another was first sent
    must have the lower revision."""
    accepted = [(c, r) for c in commands for r in c.decided()[:1] if r[0] == 'accepted']
    return [f'{late.id} came before {early.id}' for early, first in accepted for late, second in accepted
            if first[2] < late.first_send and first[1] >= second[1]]


def run(folder, deployment, seed, seconds):
    with Fleet(folder, deployment, seed) as fleet:
        addresses = [vm['operators'] for vm in deployment.control_vms()]
        end = time.monotonic() + seconds
        operators = [OperatorThread(n, addresses, deployment.zones(), seed, end) for n in range(OPERATORS)]
        watcher = Watcher(addresses, end + 2 * SETTLE_SECONDS)
        for thread in [*operators, watcher]:
            thread.start()
        kills = kill_leaders(fleet, end)
        for thread in [*operators, watcher]:
            thread.join()
        history = web.get(addresses[0], '/v1/history')[1]['history']
    return make_figures([c for p in operators for c in p.commands], history, watcher, kills)


def make_figures(commands, history, watcher, kills):
    found = contradictions(commands, history)
    first = [c.decided()[0] for c in commands if c.decided()]
    accepted = [r for r in first if r[0] == 'accepted']
    seen = [watcher.in_force_at(revision, 0) for _, revision, _ in accepted]
    delays_ms = [max(0, (when - r[2]) * 1000) for r, when in zip(accepted, seen) if when is not None]
    return {
        'commands': len(commands),
        'accepted': len(accepted),
        'conflict': sum(1 for r in first if r[0] == 'conflict'),
        'without a decision': sum(1 for c in commands if not c.decided()),
        'told unknown': sum(1 for c in commands for r in c.results if r[0] == 'unknown'),
        'told not_run': sum(1 for c in commands for r in c.results if r[0] == 'not_run'),
        'answers lost': sum(c.lost for c in commands),
        'sent again': sum(max(0, c.sends - 1) for c in commands),
        'leaders killed': kills,
        'answers that the history contradicts': len(found),
        'first contradictions': '; '.join(found[:3]) or 'none',
        'accepted, never seen in force': sum(1 for when in seen if when is None),
        'accepted to in force, p50, ms': fig.quantile(delays_ms, 0.5) if delays_ms else None,
        'accepted to in force, p99, ms': fig.quantile(delays_ms, 0.99) if delays_ms else None,
    }

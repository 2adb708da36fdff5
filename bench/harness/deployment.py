"""Loads the example deployments, with addresses replaced by a loopback address of the run."""

import json
import os
import re
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
ADMIN_PORT = 25000
SHORT_SERVICE_MS = 5
LONG_SERVICE_MS = 20
MANY_SLOTS = 6


def read_json_with_comments(path):
    """Parses JSON with // comments on separate lines or after a value."""
    text = Path(path).read_text()
    return json.loads(re.sub(r'^\s*//.*$|(?<=[,{}\[\]])\s*//.*$', '', text, flags=re.M))


def loopback_host():
    """Loopback address derived from the process id, so that concurrent runs do not collide."""
    pid = os.getpid()
    return f'127.{64 + pid // 62500 % 100}.{pid // 250 % 250}.{pid % 250 + 1}'


@dataclass
class Pool:
    name: str
    shards: int
    replicas: int
    endpoints: int
    slots: int

    @property
    def service_ms(self):
        """Mean service time of the simulated endpoints; back-office lists (pools with many slots) take longer
        than short checks."""
        return LONG_SERVICE_MS if self.slots >= MANY_SLOTS else SHORT_SERVICE_MS


@dataclass
class Deployment:
    """An example deployment with every address on `host`."""

    name: str
    host: str
    raw: dict
    intents: list
    pools: dict = field(default_factory=dict)

    @staticmethod
    def load(name, host=None):
        host = host or loopback_host()
        folder = ROOT / 'examples' / name
        text = json.dumps(read_json_with_comments(folder / 'deployment.json'))
        raw = json.loads(text.replace('127.0.0.1:', host + ':'))
        intents = read_json_with_comments(folder / 'intents.json')['intents']
        deployment = Deployment(name, host, raw, intents)
        for pool in raw['pools']:
            groups = pool['endpoints']
            deployment.pools[pool['name']] = Pool(
                pool['name'], pool['shards'], pool['replicas'],
                sum(group.get('count', 1) for group in groups), groups[0]['slots'])
        return deployment

    @property
    def admin(self):
        return f'{self.host}:{ADMIN_PORT}'

    def vms(self):
        return self.raw['vms']

    def control_vms(self):
        return [vm for vm in self.raw['vms'] if vm.get('disk')]

    def zones(self):
        return [zone['name'] for zone in self.raw['zones']]

    def caller(self, name):
        return next(c for c in self.raw['callers'] if c['name'] == name)

    def first_caller(self):
        """Name of the caller class whose tail latency is bounded: drivers or studio desks."""
        return self.raw['callers'][0]['name']

    def classes(self, rates, min_coverage=True):
        """Load classes, one per intent whose caller has a positive rate."""
        result = []
        for intent in self.intents:
            caller = self.caller(intent['caller'])
            if rates.get(caller['name'], 0) <= 0:
                continue
            result.append({
                'name': caller['name'], 'apiKey': caller['apiKey'], 'pool': caller['pool'],
                'kind': intent.get('kind') or 'search', 'rate': rates[caller['name']],
                'weight': intent.get('weight', 1),
                'minCoveragePercent': intent.get('minCoveragePercent', 0) if min_coverage else 0})
        return result

    def queries_per_second(self, caller, service_ms=None):
        """Capacity of the pool of a caller class in queries per second."""
        pool = self.pools[self.caller(caller)['pool']]
        return pool.endpoints * pool.slots * 1000 / (service_ms or pool.service_ms) / pool.shards

    def rates(self, share):
        """Arrivals per second of each caller class, as a fraction of the capacity of its pool."""
        return {c['name']: share * self.queries_per_second(c['name']) for c in self.raw['callers']}

    def behaviour(self, **extra):
        """Behaviour of the simulated endpoints of every pool."""
        return {name: {'meanServiceMs': pool.service_ms, **extra} for name, pool in self.pools.items()}

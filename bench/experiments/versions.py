"""Publishes and repartitions index snapshots every few seconds under load, while replicas fail."""

import random
import time

from harness.fleet import Fleet

SECONDS = 30
WARMUP_SECONDS = 5
SHARE_OF_CAPACITY = 0.1
ROLLOUT_EVERY_SECONDS = 3
SPREAD_MS = 1000
LOST_EVERY_SECONDS = 1.5
LOST_MS = 700


class Rollouts:
    """Seeded schedule of published snapshots and failed replicas."""

    def __init__(self, fleet, seed, seconds):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.seconds = seconds
        self.snapshot = {pool: 1 for pool in fleet.deployment.pools}
        self.published = 0
        self.lost = 0

    def shards(self, pool):
        """Random shard count: the configured one, or 20 % more or fewer."""
        base = self.fleet.deployment.pools[pool].shards
        return max(2, base + self.random.choice([0, 0, base // 5, -(base // 5)]))

    def publish(self):
        pool = self.random.choice(list(self.snapshot))
        self.snapshot[pool] += 1
        self.fleet.admin('/admin/publish', {
            'pool': pool, 'snapshot': self.snapshot[pool], 'totalShards': self.shards(pool), 'keep': 1,
            'spreadMs': SPREAD_MS})
        self.published += 1

    def lose(self):
        endpoint = self.random.randrange(len(self.fleet.endpoints()))
        self.fleet.change_endpoints(endpoint, 'down', {'ms': LOST_MS})
        self.lost += 1

    def run(self):
        end = time.monotonic() + self.seconds - 1
        next_rollout = next_loss = time.monotonic()
        while time.monotonic() < end:
            now = time.monotonic()
            if now >= next_rollout:
                # One rollout per pool on average, so that the callers of each pool see some; publish() draws the pool.
                for _ in self.snapshot:
                    self.publish()
                next_rollout = now + ROLLOUT_EVERY_SECONDS
            if now >= next_loss:
                self.lose()
                next_loss = now + LOST_EVERY_SECONDS
            time.sleep(0.05)


def run(folder, deployment, seed, seconds):
    rates = deployment.rates(SHARE_OF_CAPACITY)
    behaviour = deployment.behaviour()
    with Fleet(folder, deployment, seed, behaviour) as fleet:
        rollouts = Rollouts(fleet, seed, seconds)
        result = fleet.load('versions', deployment.classes(rates), seconds, WARMUP_SECONDS,
                            on_start=fleet.reset_record, while_measuring=rollouts.run)
        record = fleet.record()
    complete = [i['caller'] for i in deployment.intents if i['minCoveragePercent'] == 100]
    searches = {name: c for name, c in result['classes'].items() if name not in complete}
    covered = sum(c['meanCoverage'] * c['answered'] for c in searches.values())
    figures = {
        'snapshots published': rollouts.published,
        'replicas lost': rollouts.lost,
        'verified answers': result['verified'],
        'wrong answers': result['wrong'],
        'faults': str(result['faults']),
        'coverage loss of answers': 1 - covered / max(1, sum(c['answered'] for c in searches.values())),
        'coverage loss, refusals counted as none': 1 - covered / max(1, sum(c['sent'] for c in searches.values())),
        'cold breaches': sum(e['coldBreaches'] for e in record),
    }
    for name, each in result['classes'].items():
        figures[f'{name}: sent, answered, complete'] = (
            f'{each["sent"]} {each["answered"]} {each["complete"]} {each["reasons"]}')
    figures['complete classes: answers that were not'] = sum(
        result['classes'][name]['answered'] - result['classes'][name]['complete'] for name in complete)
    return figures

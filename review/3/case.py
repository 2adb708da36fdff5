"""A searcher that is full turns a request away, and later sends that answer a second time."""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption

f.ZONES = {"wien-a": "at-ost", "wien-b": "at-ost", "linz-c": "at-ost"}
f.BOUNDS["retrySlack"] = 54
CORES, BUSY, QUIET = [11, 12, 13, 14, 15], [21, 22, 23, 24, 25], [26, 27, 28, 29]
SLOTS, QUEUE, CONNECTIONS = 6, 24, 100  # of a searcher of billing-portal
WORK_S = (0.06, 0.18)  # mean 120 ms, spread 0.5
DOUBLED_SHARE = 0.03  # of the answers that one of the two searchers gives in a spell
SPELL_S, PAUSE_S, LENGTH_S = 5.0, 3.0, 90.0
BURST, BURST_GAP_S = 6, 1.0  # requests that come at once, at each busy relay
SINGLE_S = (0.05, 0.09)  # after a burst a single request comes at a quiet relay, while the searcher is full


class FullSearcher(f.Searcher):
    """Works on `SLOTS` requests, queues `QUEUE` more and turns the rest away. While `doubles` is set, it sends at most
    3 in 100 of its answers a second time, where the next answer on that connection is expected."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.slots = asyncio.Semaphore(SLOTS)
        self.held = self.answers = self.all_answers = self.doubled = self.all_doubled = 0
        self.doubles = False

    def set_doubles(self, doubles):
        """Begins or ends a spell; what it may double is counted anew in each."""
        if doubles != self.doubles:
            self.doubles, self.answers, self.doubled = doubles, 0, 0

    async def handle(self, connection, target, headers, body):
        request = headers.get("x-bulrushtray-request-id", "")
        self.answers += 1
        self.all_answers += 1
        if self.held >= SLOTS + QUEUE:
            answer = (503, {"X-Bulrushtray-Not-Executed": "1", **f.echo(headers)}, b"")
            is_doubled = self.doubles and self.doubled + 1 <= DOUBLED_SHARE * self.answers
            self.record.write(f"searcher turned {request} away: 503, not executed{', to be sent twice' * is_doubled}")
            await connection.answer(*answer)
            if is_doubled:
                self.doubled += 1
                self.all_doubled += 1
                connection.held = f.encode(*answer)
            return
        self.held += 1
        try:
            async with self.slots:
                await self.run(connection, target, headers, body, random.uniform(*WORK_S))
        finally:
            self.held -= 1


def config():
    return {"version": 7, "routes": [
        {"name": "invoice-order", "host": "shop.example", "pathPrefix": "/invoice/", "type": "non_idempotent",
         "timeoutMs": 3000, "sloMs": 500, "priority": 2, "backend": "billing", "maxAttempts": 2}],
        "backends": f.backends(["billing"], CONNECTIONS), "limits": f.CLIENT_LIMITS}


async def order(record, fleet, relay, answers):
    request = f"{random.getrandbits(64):016x}"
    answer = await f.call(fleet.ip(relay), f.FRONT, "POST", "/invoice/new", {
        "Host": "shop.example", "X-Bulrushtray-Request-Id": request, "X-Bulrushtray-Deadline-Ms": "3000"}, b"invoice",
        timeout=3.2)
    answers[request] = 0 if answer.cut else answer.status
    record.write(f"client sent {request} to relay {relay} and got {answers[request]}")


async def case(record, fleet, trouble):
    searcher = FullSearcher(record, "billing", "wien-a", fleet.ip(100), capacity=SLOTS)
    other = FullSearcher(record, "billing", "wien-b", fleet.ip(101), capacity=SLOTS)
    platform = f.SearcherList()
    await platform.start(fleet.ip(2))
    for each in (searcher, other):
        await each.start()
        platform.entries.append(each.entry)
    for n, last in enumerate(CORES):
        fleet.describe(f"core-{n + 1}", last, "registry", list(f.ZONES)[n % 3], CORES[:3], 2)
    for last in [*BUSY, *QUIET]:
        fleet.describe(f"front-{last}", last, "relay", "wien-a", CORES[:3], 2)
    for node in list(fleet.settings):
        fleet.start(node)
    await f.put_config(fleet, CORES, config())
    await f.send_order(fleet, CORES, "POST", "/evacuate/wien-b")
    record.write("operator: wien-b is evacuated")
    for last in [*BUSY, *QUIET]:
        await f.wait_for("the relays were not ready", lambda last=last: f.is_ready(fleet, last))
    await asyncio.sleep(2)

    answers, orders = {}, []
    end = time.monotonic() + LENGTH_S

    while (left := end - time.monotonic()) > 0:
        searcher.set_doubles(trouble and left % (SPELL_S + PAUSE_S) < SPELL_S)
        for relay in BUSY:
            orders += [asyncio.create_task(order(record, fleet, relay, answers)) for _ in range(BURST)]
        delay = random.uniform(*SINGLE_S)
        await asyncio.sleep(delay)
        orders.append(asyncio.create_task(order(record, fleet, QUIET[len(orders) % len(QUIET)], answers)))
        await asyncio.sleep(BURST_GAP_S - delay)
    await asyncio.gather(*orders)

    runs = collections.Counter(request for each in (searcher, other) for _, request, _, _ in each.runs)
    twice = [request for request, count in runs.items() if count > 1]
    refused = [request for request, status in answers.items() if status in (408, 421, 429, 503) and runs[request]]
    for request in twice:
        record.write(f"TWICE: {request} ran {runs[request]} times, its client got {answers.get(request)}")
    for request in refused:
        record.write(f"REFUSED: {request} got {answers[request]} and ran")
    record.write(f"{len(answers)} requests, {sum(runs.values())} runs, {searcher.all_answers} answers, "
                 f"{searcher.all_doubled} of them sent twice; statuses {dict(collections.Counter(answers.values()))}")
    return not twice and not refused


if __name__ == "__main__":
    sys.exit(f.main(HERE, case, TROUBLE))

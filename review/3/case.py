"""A searcher that is full turns a request away, and later sends that answer a second time."""

import asyncio
import collections
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

CORES, BUSY, QUIET = [11, 12, 13, 14, 15], [21, 22, 23, 24, 25], [26, 27, 28, 29]
SLOTS, QUEUE, CONNECTIONS = 6, 24, 100  # of a searcher of billing-portal
WORK_S = (0.06, 0.18)  # mean 120 ms, spread 0.5
DOUBLED_SHARE = 0.03  # of the searcher's answers
SPELL_S, PAUSE_S, LENGTH_S = 5.0, 3.0, 90.0
BURST, BURST_GAP_S = 6, 1.0  # requests that come at once, at each busy relay
SINGLE_S = (0.05, 0.09)  # after a burst a single request comes at a quiet relay, while the searcher is full


class FullSearcher(f.Searcher):
    """Works on `SLOTS` requests, queues `QUEUE` more and turns the rest away. While `doubles` is set, it sends at most
    3 in 100 of its answers a second time, where the next answer on that connection is expected."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.slots = asyncio.Semaphore(SLOTS)
        self.held = self.answers = self.doubled = 0
        self.doubles = False

    async def handle(self, connection, target, headers, body):
        request = headers.get("x-bulrushtray-request-id", "")
        self.answers += 1
        if self.held >= SLOTS + QUEUE:
            answer = (503, {"X-Bulrushtray-Not-Executed": "1", **f.echo(headers)}, b"")
            is_doubled = self.doubles and self.doubled + 1 <= DOUBLED_SHARE * self.answers
            self.record.write(f"searcher turned {request} away: 503, not executed{', to be sent twice' * is_doubled}")
            await connection.answer(*answer)
            if is_doubled:
                self.doubled += 1
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
    searcher = FullSearcher(record, "billing", "dakar-plateau", fleet.ip(100), capacity=SLOTS)
    platform = f.SearcherList()
    await platform.start(fleet.ip(2))
    await searcher.start()
    platform.entries.append(searcher.entry)
    for n, last in enumerate(CORES):
        fleet.describe(f"core-{n + 1}", last, "registry", list(f.ZONES)[n % 3], CORES[:3], 2)
    for last in [*BUSY, *QUIET]:
        fleet.describe(f"front-{last}", last, "relay", "dakar-plateau", CORES[:3], 2)
    for node in list(fleet.settings):
        fleet.start(node)
    await f.put_config(fleet, CORES, config())
    for last in [*BUSY, *QUIET]:
        await f.wait_for("the relays were not ready", lambda last=last: f.is_ready(fleet, last))
    await asyncio.sleep(2)

    answers, orders = {}, []
    end = time.monotonic() + LENGTH_S

    while (left := end - time.monotonic()) > 0:
        searcher.doubles = trouble and left % (SPELL_S + PAUSE_S) < SPELL_S
        for relay in BUSY:
            orders += [asyncio.create_task(order(record, fleet, relay, answers)) for _ in range(BURST)]
        delay = random.uniform(*SINGLE_S)
        await asyncio.sleep(delay)
        orders.append(asyncio.create_task(order(record, fleet, QUIET[len(orders) % len(QUIET)], answers)))
        await asyncio.sleep(BURST_GAP_S - delay)
    await asyncio.gather(*orders)

    runs = collections.Counter(request for _, request, _, _ in searcher.runs)
    twice = [request for request, count in runs.items() if count > 1]
    refused = [request for request, status in answers.items() if status in (408, 421, 429, 503) and runs[request]]
    for request in twice:
        record.write(f"TWICE: {request} ran {runs[request]} times, its client got {answers.get(request)}")
    for request in refused:
        record.write(f"REFUSED: {request} got {answers[request]} and ran")
    record.write(f"{len(answers)} requests, {sum(runs.values())} runs, {searcher.answers} answers, "
                 f"{searcher.doubled} of them sent twice; statuses {dict(collections.Counter(answers.values()))}")
    return not twice and not refused


if __name__ == "__main__":
    sys.exit(f.main(HERE, case))

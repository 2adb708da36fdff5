"""A relay is killed and started again while another relay works on its shard requests."""

import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption

CORES, KILLED = [11, 12, 13, 14, 15], 21
OTHERS = {22: "dakar-pikine", 23: "dakar-plateau", 24: "dakar-plateau", 25: "dakar-plateau", 26: "dakar-almadies",
          27: "dakar-almadies", 28: "dakar-almadies"}  # relays; no client of this script uses them
SHARDS, SLOW = 20, 3  # shards with 2 searchers each; both of 3 shards, 15 in 100 of all searchers, have turned slow
WORK_S, SLOW_S = 0.028, 1.6  # a request of 176 ms (the longest of this class take 210) takes 9.1 times as long
TOP, LEAST = 50, 0.89
GAP_S, BEFORE, AFTER = 0.1, 5, 12  # queries: one each 0.1 s
DOWN_S = 0.5


def config(names):
    return {"version": 7, "routes": [
        {"name": "archive-browse", "host": "shop.example", "pathPrefix": "/browse/", "type": "idempotent", "timeoutMs": 3000,
         "sloMs": 200, "priority": 1, "gather": names, "maxAttempts": 2, "topK": TOP, "minVersion": LEAST}],
        "backends": f.backends(names), "limits": f.CLIENT_LIMITS}


async def query(record, fleet, names, faults):
    request = f"{random.getrandbits(64):016x}"
    record.write(f"client sent {request}")
    answer = await f.call(fleet.ip(KILLED), f.FRONT, "GET", "/browse/x", {
        "Host": "shop.example", "X-Bulrushtray-Request-Id": request, "X-Bulrushtray-Deadline-Ms": "3000"}, timeout=3.2)
    if answer.status != 200:
        record.write(f"client got {'no answer' if answer.cut else answer.status} for {request}")
        return
    parts = [each.strip() for each in answer.headers.get("x-bulrushtray-parts", "").split(",")]
    missing = int(answer.headers.get("x-bulrushtray-missing-parts", "0"))
    record.write(f"client got 200 for {request}: {len(parts)} parts, {missing} missing")
    for each in parts:
        if each.split(".")[0] != request:
            faults.append(request)
            record.write(f"MIXED: {request} was answered with the part {each} of another request")
    own = [each.split(".") for each in parts if each.split(".")[0] == request]
    records = sorted((f.record_of(request, service) for _, service, _ in own), reverse=True)[:TOP]
    if len(own) == len(parts) and b"".join(records) != answer.body:
        faults.append(request)
        record.write(f"MIXED: the body for {request} isn't that of its parts")


async def case(record, fleet, trouble):
    names = [f"studio{n}" for n in range(SHARDS)]
    searchers = [f.Searcher(record, name, zone, fleet.ip(first + n), SLOW_S if n < SLOW else WORK_S)
                 for zone, first in (("dakar-plateau", 100), ("dakar-almadies", 150)) for n, name in enumerate(names)]
    platform = f.SearcherList()
    await platform.start(fleet.ip(2))
    for each in searchers:
        await each.start()
        platform.entries.append(each.entry)
    for n, last in enumerate(CORES):
        fleet.describe(f"core-{n + 1}", last, "registry", list(f.ZONES)[n % 3], CORES[:3], 2)
    fleet.describe("front-pikine-1", KILLED, "relay", "dakar-pikine", CORES[:3], 2)
    for last, zone in OTHERS.items():
        fleet.describe(f"front-{last}", last, "relay", zone, CORES[:3], 2)
    for node in list(fleet.settings):
        fleet.start(node)
    await f.put_config(fleet, CORES, config(names))
    for last in (KILLED, *OTHERS):
        await f.wait_for("the relays were not ready", lambda last=last: f.is_ready(fleet, last))
    await asyncio.sleep(3)

    faults, queries = [], []

    async def send(count):
        for _ in range(count):
            queries.append(asyncio.create_task(query(record, fleet, names, faults)))
            await asyncio.sleep(GAP_S)

    await send(BEFORE)
    if trouble:
        fleet.kill("front-pikine-1")
        await asyncio.sleep(DOWN_S)
        fleet.start("front-pikine-1")
        await f.wait_for("the relay was not ready again", lambda: f.is_ready(fleet, KILLED))
    await send(AFTER)
    await asyncio.gather(*queries)
    return not faults


if __name__ == "__main__":
    sys.exit(f.main(HERE, case, TROUBLE))

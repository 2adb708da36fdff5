"""Machines of the core are replaced one after the other; the first of the new machines fails as well."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # TROUBLE=0: the same without the disruption

CORES, RELAY = [11, 12, 13, 14, 15], 21
NEW = [16, 17, 18, 19]  # addresses of the machines that are added
SUCCESSOR_S = 1.0  # a new machine comes so long after the old one is gone
HEAD_START_S = 6.0  # the first new machine starts so long before the old one ends; catchUpS is 4
FAILS_AFTER_S = 1.6  # the first new machine is gone so long after the old one
CALM_S = 9.0  # between two replacements: catchUpS is 4, contactMs is 4
RECOVERY_S = f.BOUNDS["recoveryS"]


def config(version):
    return {"version": version, "routes": [
        {"name": "cutfile-fetch", "host": "shop.example", "pathPrefix": "/cut/", "type": "idempotent", "timeoutMs": 3000,
         "sloMs": 800, "priority": 2, "backend": "printroom", "maxAttempts": 2}],
        "backends": f.backends(["printroom"], 51), "limits": f.CLIENT_LIMITS}


async def read_config(fleet, last):
    """Returns the version that a daemon of the core reads out; follows 307 twice."""
    host, port = fleet.ip(last), f.CONTROL
    for _ in range(3):
        answer = await f.call(host, port, "GET", "/config", timeout=1.0)
        if answer.status != 307:
            break
        host, port = answer.headers["location"].split("/")[2].rsplit(":", 1)
    return json.loads(answer.body)["version"] if answer.status == 200 else f"status {answer.status}"


async def case(record, fleet, trouble):
    searcher = f.Searcher(record, "printroom", "dakar-plateau", fleet.ip(100), 0.05, 6)
    platform = f.SearcherList()
    await platform.start(fleet.ip(2))
    await searcher.start()
    platform.entries.append(searcher.entry)
    for n, last in enumerate([*CORES, *NEW]):
        fleet.describe(f"core-{n + 1}", last, "registry", list(f.ZONES)[n % 3], CORES[:3], 2)
    fleet.describe("front-1", RELAY, "relay", "dakar-plateau", CORES[:3], 2)
    for node, settings in list(fleet.settings.items()):
        if settings["ip"] in [fleet.ip(each) for each in NEW]:
            settings["bootstrap"] = False
        else:
            fleet.start(node)
    await f.put_config(fleet, CORES, config(7))
    await f.wait_for("the relay was not ready", lambda: f.is_ready(fleet, RELAY))
    await asyncio.sleep(5)

    async def replace(old, new):
        fleet.kill(old)
        record.write(f"{old} is gone for good")
        await asyncio.sleep(SUCCESSOR_S)
        fleet.start(new)

    fleet.start("core-6")
    await asyncio.sleep(HEAD_START_S)
    fleet.signal("core-5", signal.SIGTERM)
    asked = time.monotonic()
    while fleet.processes["core-5"].poll() is None and time.monotonic() < asked + f.BOUNDS["graceS"]:
        await asyncio.sleep(0.02)
    fleet.kill("core-5")
    record.write("core-5 is gone for good; its successor has run for 6 s and more")
    if trouble:
        await asyncio.sleep(FAILS_AFTER_S)
        await replace("core-6", "core-7")
    await asyncio.sleep(CALM_S)
    await replace("core-4", "core-8")
    await asyncio.sleep(CALM_S)
    await f.put_config(fleet, CORES[:3], config(8))
    await replace("core-3", "core-9")
    await asyncio.sleep(RECOVERY_S)

    running = [settings["ip"].rsplit(".", 1)[1] for node, settings in fleet.settings.items()
               if node.startswith("core") and node in fleet.processes]
    record.write(f"{len(running)} machines of the core run, {len(running) - 1} of them for {CALM_S:.0f} s and more")
    versions, end = [], time.monotonic() + 2 * f.BOUNDS["contactMs"] / 1000
    while time.monotonic() < end:
        for last in running:
            versions.append(await read_config(fleet, last))
            record.write(f"operator: core at .{last} reads out version: {versions[-1]}")
        await asyncio.sleep(0.5)
    record.write(f"{versions.count(8)} of {len(versions)} readings gave version 8, which was acknowledged")
    status = (await f.call(fleet.ip(RELAY), f.FRONT, "GET", "/cut/x", {
        "Host": "shop.example", "X-Bulrushtray-Request-Id": "last", "X-Bulrushtray-Deadline-Ms": "3000"})).status
    record.write(f"a request at the relay, which ran all the while, got {status}")
    return versions.count(8) > 0


if __name__ == "__main__":
    sys.exit(f.main(HERE, case, TROUBLE))

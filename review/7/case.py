"""CONFIG: versions that are large whole numbers, as time stamps in nanoseconds are."""

import asyncio
import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import rig as common  # noqa: E402

APPLY_S = common.BOUNDS["configApplyMs"] / 1000
CONTACT_S = common.BOUNDS["contactMs"] / 1000
START = 1_796_600_000_000_000_000 if common.TROUBLE else 7  # Unix time in ns of 6 December 2026
STEPS = [0, 17, 55]  # uneven


async def play(rig):
    await rig.add_searcher("billing-portal", "wien-a", slots=6, work_ms=20)
    await rig.add_searcher("fleet-desk", "wien-b", slots=6, work_ms=20)
    routes = [common.route("invoice-lookup", "/invoices/", backend="billing-portal")]
    services = ["billing-portal", "fleet-desk"]
    await rig.start(common.config(START + STEPS[0], routes, services))
    await asyncio.sleep(CONTACT_S)
    faults = []
    for number, step in enumerate(STEPS[1:], 1):
        routes = [*routes, common.route(f"added-{number}", f"/added{number}/", backend="fleet-desk")]
        sent = common.config(START + step, routes, services)
        answer = await rig.order("PUT", "/config", sent)
        if answer.status != 200:
            raise common.CannotRun(f"the configuration was not acknowledged: {answer.status}")
        await asyncio.sleep(APPLY_S + 1)
        for machine in rig.fronts:
            answer = await rig.send(machine, "GET", f"/added{number}/2f", 3000)
            if answer.status == 404:
                faults.append(f"{machine.name} answers 404 on a route of version +{step} {APPLY_S + 1:.0f} s after its "
                              "acknowledgement")
    newest = START + STEPS[-1]
    for _ in range(int(CONTACT_S)):  # the operator reads back at the end of the day, for at least contactMs
        read = await rig.order("GET", "/config")
        held = json.loads(read.body)["version"]
        rig.record("read_back", version=held, newest=newest)
        if held != newest:
            faults.append(f"read back: version +{held - START}, acknowledged: +{STEPS[-1]}")
        await asyncio.sleep(1)
    for fault in sorted(set(faults)):
        print(fault)
    return f"CONFIG: {len(faults)} answers of an older version than the newest acknowledged" if faults else None


if __name__ == "__main__":
    sys.exit(common.main(HERE, play))

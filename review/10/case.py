"""FAILBACK: a searcher that becomes cold again while it warms up."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import rig as common  # noqa: E402

PER_S, WORK_MS = 60, 60
WARMUP_S, WARMUP_PER_S = 3.0, 0.0  # of the site, in the configuration
BOUND = WARMUP_PER_S * common.BOUNDS["warmupFactor"] + common.BOUNDS["warmupSlack"]
CRASHES_AT = 3 * BOUND             # "crashes at a rate well above that"
STAYS_LISTED_S = 3.0               # "A searcher that has crashed remains on the list for some seconds."


class ColdSearcher(common.Searcher):
    """Crashes when it gets far more requests in a second than a cold searcher bears."""
    crashed_at = None

    async def answer(self, writer, method, path, headers, body):
        if self.crashed_at is None and sum(at > time.monotonic() - 1 for at, _ in self.cold_arrivals) > CRASHES_AT:
            self.crash()
            raise ConnectionResetError
        return await super().answer(writer, method, path, headers, body)

    def crash(self):
        self.crashed_at = time.monotonic()
        self.rig.record("searcher_crashed", id=self.id)
        self.server.close()
        asyncio.get_running_loop().call_later(STAYS_LISTED_S, setattr, self, "listed", False)
        for task in list(self.tasks):
            task.cancel()


async def play(rig):
    await rig.add_searcher("billing-portal", "wien-a", slots=6, queue=24, work_ms=WORK_MS)
    routes = [common.route("invoice-lookup", "/invoices/", kind="non_idempotent", backend="billing-portal")]
    await rig.start(common.config(7, routes, ["billing-portal"], max_conns=100))
    await asyncio.sleep(4)
    tasks, sending = set(), True

    async def traffic():
        count = 0
        while sending:
            machine = rig.fronts[count % len(rig.fronts)]
            tasks.add(asyncio.create_task(rig.send(machine, "POST", "/invoices/2f", 3000, body=b"r" * 300)))
            count += 1
            await asyncio.sleep(1 / PER_S)

    clients = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    await rig.platform.next_read()
    await asyncio.sleep(0.9)
    added = ColdSearcher(rig, "billing-portal", "wien-b", f"{rig.net}.150", rig.searcher_port, 50, slots=6, queue=24,
                         work_ms=WORK_MS, cold_s=WARMUP_S)
    await added.start()
    rig.searchers.append(added)
    await rig.platform.next_read()  # the list has shown it, as cold
    await asyncio.sleep(0.6)
    if common.TROUBLE:
        added.cold_until = time.monotonic() + WARMUP_S
        rig.record("cold_again", id=added.id)
    await asyncio.sleep(6)
    sending = False
    await clients
    answers = await asyncio.gather(*tasks)
    sent = {each.request: each.sent_at for each in answers}
    times = [(sent[request], at) for at, request in added.cold_arrivals]
    # As the rule counts: both sent and arrived inside the second.
    worst = max((sum(start <= sent_at and at < start + 1 for sent_at, at in times) for start, _ in times), default=0)
    lost = sum(each.status in (0, 502, 504) for each in answers)
    rig.record("judged", cold_arrivals=len(times), worst_second=worst, crashed=added.crashed_at is not None, lost=lost)
    print(f"{len(times)} requests at the cold searcher, {worst} in the worst second, of {BOUND:.0f} allowed; "
          f"{len(added.runs)} runs there, {'it crashed' if added.crashed_at else 'no crash'}, {lost} requests lost")
    return f"FAILBACK: a cold searcher got {worst} requests in one second, of {BOUND:.0f} allowed" if worst > BOUND else None


if __name__ == "__main__":
    sys.exit(common.main(HERE, play))

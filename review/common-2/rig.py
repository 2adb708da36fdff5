"""Rig of the cases of the second review: the project's programs as processes on loopback addresses, with the commands of the
deploy file, and small stand-ins for searchers, the platform's list, the operator and clients. Everything that is sent, answered
and run is written to record.txt in the folder of the case."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"wien-a": "at-ost", "wien-b": "at-ost", "linz-c": "at-ost"}
# Of ../given/kit/more/system/sites/parkwerk-suche.toml, as SYSTEM.md states them.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
          "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "skewMaxMs": 12000, "retryRatio": 0.2,
          "retryWindowS": 10, "retrySlack": 54, "warmupFactor": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def deploy_commands():
    """The `run` of each role, by the class of machines, as the deploy file states it."""
    import tomllib
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        roles = tomllib.load(file)["roles"]
    return {role["on"]: role["run"].split() for role in roles.values()}


class Rig:
    """One deployment: `cores` machines with a disk and `fronts` without, of the parkwerk-suche kind."""

    def __init__(self, case, cores=5, fronts=3):
        self.started = time.monotonic()
        self.case = pathlib.Path(case)
        self.record_file = open(self.case / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrush-review-"))
        self.net = self.free_net()
        self.ports = self.free_ports(6)
        self.front_port, self.ready_port, self.control_port, self.list_port, self.fleet_port, self.searcher_port = self.ports
        self.commands = deploy_commands()
        zones = list(ZONES)
        self.cores = [Machine(self, "core", n, zones[n % 3]) for n in range(cores)]
        self.fronts = [Machine(self, "front", n, zones[n % 3]) for n in range(fronts)]
        self.searchers = []
        self.other_entries = []  # of another writer of the platform's list
        self.platform = None
        self.last_id = 0
        self.next_searcher = 1

    @staticmethod
    def free_net():
        """A block of loopback addresses on which port 9102, that of the metrics, is free."""
        for _ in range(50):
            net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
            try:
                for host in (1, 10, 20):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", 9102))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback block")

    def free_ports(self, count):
        found = []
        while len(found) < count:
            with socket.socket() as probe:
                probe.bind((f"{self.net}.1", 0))
                port = probe.getsockname()[1]
            if all(abs(port - other) > 20 for other in found) and port < 60000:
                found.append(port)
        return found

    def record(self, kind, **values):
        line = {"s": round(time.monotonic() - self.started, 3), "what": kind, **values}
        self.record_file.write(json.dumps(line) + "\n")

    def new_id(self):
        self.last_id += 1
        return f"{random.getrandbits(48):012x}{self.last_id:05x}"

    async def add_searcher(self, service, zone, **more):
        number, self.next_searcher = self.next_searcher, self.next_searcher + 1
        searcher = Searcher(self, service, zone, f"{self.net}.{100 + number}", self.searcher_port, number, **more)
        await searcher.start()
        self.searchers.append(searcher)
        return searcher

    async def start(self, config):
        """Starts everything; returns once each front machine is ready and the configuration is acknowledged."""
        self.platform = Platform(self, f"{self.net}.250", self.list_port)
        await self.platform.start()
        for machine in self.cores + self.fronts:
            machine.start(bootstrap=True)
        await self.order("PUT", "/config", config, limit=25)
        for machine in self.fronts:
            await self.wait_for(f"{machine.name} ready", machine.is_ready, 25)

    async def wait_for(self, what, check, limit):
        deadline = time.monotonic() + limit
        while not await check():
            if time.monotonic() > deadline:
                raise CannotRun(f"{what}: not within {limit} s")
            await asyncio.sleep(0.1)

    async def order(self, method, path, document=None, limit=5.0):
        """A call of the operator: follows a 307 twice, moves on after a failure or a 5xx, ends at 2xx or a final 4xx."""
        body = json.dumps(document).encode() if document is not None else b""
        deadline, turn = time.monotonic() + limit, 0
        while time.monotonic() < deadline:
            machine = self.cores[turn % len(self.cores)]
            turn += 1
            host, port = machine.ip, self.control_port
            for _ in range(3):
                answer = await fetch(host, port, method, path, body, {"Content-Type": "application/json"}, timeout=1.0)
                self.record("order", method=method, path=path, to=host, status=answer.status,
                            version=(document or {}).get("version"))
                if answer.status != 307:
                    break
                host, _, port = answer.headers["location"].split("/")[2].partition(":")
            if answer.status in (200, 201, 204) or answer.status in (400, 404, 409, 412, 413, 422):
                return answer
            await asyncio.sleep(min(0.1 * turn, 1.0))
        raise CannotRun(f"{method} {path}: no clear response in {limit} s")

    async def send(self, machine, method, path, deadline_ms, body=b"", headers=None, connection=None, host="pupu76.example"):
        """A client's attempt, on a new connection unless one is given."""
        request = self.new_id()
        self.record("sent", id=request, to=machine.name, method=method, path=path)
        started = time.monotonic()
        answer = await fetch(machine.ip, self.front_port, method, path, body,
                             {"Host": host, "X-Bulrushtray-Request-Id": request,
                              "X-Bulrushtray-Deadline-Ms": str(deadline_ms), **(headers or {})},
                             timeout=deadline_ms / 1000 + 1.0, connection=connection)
        answer.request, answer.sent_at = request, started
        answer.took_ms = (time.monotonic() - started) * 1000
        self.record("answered", id=request, status=answer.status, ms=round(answer.took_ms, 1),
                    stamp=answer.headers.get("x-bulrushtray-stamp"), parts=answer.headers.get("x-bulrushtray-parts"),
                    missing=answer.headers.get("x-bulrushtray-missing-parts"), error=answer.error)
        return answer

    def check_alive(self):
        for machine in self.cores + self.fronts:
            if machine.ended_itself():
                self.record("process_ended", node=machine.name, code=machine.child.poll())

    def stop(self):
        for machine in self.cores + self.fronts:
            machine.kill()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Machine:
    """A process of the system on an address of its own."""

    def __init__(self, rig, kind, number, zone):
        self.rig, self.kind, self.zone = rig, kind, zone
        self.ip = f"{rig.net}.{(10 if kind == 'core' else 20) + number}"
        self.name = f"{kind}-{zone}-{number + 1}"
        self.child, self.told_to_end = None, False

    def settings(self, bootstrap):
        rig, core = self.rig, self.kind == "core"
        listen = {"control": f"{self.ip}:{rig.control_port}"} if core else {
            "front": f"{self.ip}:{rig.front_port}", "ready": f"{self.ip}:{rig.ready_port}"}
        limits = {"cpuShare": 0.6 if core else 0.25, "cores": 1, "memoryMb": 256 if core else 260,
                  "maxFds": 4096 if core else 4100, "linkMbps": 1000.0, "diskMb": 128 if core else 0}
        data = self.rig.folder / self.name
        if core:
            data.mkdir(exist_ok=True)
        return {"node": self.name, "role": "registry" if core else "relay", "machineClass": self.kind,
                "serves": ["control"] if core else ["front"], "ip": self.ip, "zone": self.zone, "region": "at-ost", "zones": ZONES,
                "listen": listen, "portRange": [rig.fleet_port, rig.fleet_port + 15],
                "seeds": [f"{each.ip}:{rig.control_port}" for each in rig.cores[:3]], "bootstrap": bootstrap, "lossCounts": core,
                "limits": limits, "dataDir": str(data) if core else None, "discovery": "cloud_api", "entry": "vip",
                "heartbeatMs": 1200, "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places"],
                "faultTolerance": {"machines": (len(rig.cores) - 1) // 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
                "config_mode": "highest",
                "cloud": {"address": f"{rig.platform.host}:{rig.list_port}", "ratePerS": 42.0, "duties": [], "maxLagMs": 800}}

    def start(self, bootstrap=False):
        path = self.rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(bootstrap)))
        command = self.rig.commands[self.kind]
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is missing: build with the deploy file first")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = open(self.rig.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([str(program), *command[1:]], cwd=ROOT, stdout=log, stderr=log,
                                      env={**environment, "BULRUSHTRAY_BOOT": str(path)})
        log.close()
        self.told_to_end = False
        self.rig.record("process_started", node=self.name, ip=self.ip)

    def ended_itself(self):
        return self.child is not None and self.child.poll() is not None and not self.told_to_end

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)
            self.rig.record("signal", node=self.name, number=int(number))

    def kill(self):
        self.told_to_end = True
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    async def is_ready(self):
        return (await fetch(self.ip, self.rig.ready_port, "GET", "/ready", timeout=0.5)).status == 200


class Searcher:
    """A searcher as PROTOCOL.md describes it: `slots` requests at a time, a few more in its queue, one at a time on a connection."""

    def __init__(self, rig, service, zone, host, port, number, slots=2, queue=12, work_ms=5.0, records=5, cold_s=0.0, body=None):
        self.rig, self.service, self.zone, self.host, self.port = rig, service, zone, host, port
        self.id = f"i-{random.getrandbits(32):08x}"
        self.number, self.slots, self.queue, self.work_ms, self.records, self.body = number, slots, queue, work_ms, records, body
        self.born = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.cold_arrivals = []
        self.draining = False
        self.listed = True
        self.queued = 0
        self.free = asyncio.Semaphore(slots)
        self.server, self.tasks = None, set()
        self.runs = []
        self.sequence = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=100)
        self.rig.record("searcher_started", id=self.id, service=self.service, address=f"{self.host}:{self.port}")

    def end(self):
        self.listed = False
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.rig.record("searcher_ended", id=self.id, service=self.service)

    def cold_ms(self):
        return int(max(0.0, self.cold_until - time.monotonic()) * 1000)

    def entry(self):
        return {"backend": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
                "capacity": self.slots, "state": "draining" if self.draining else "ready", "warmupLeftMs": self.cold_ms(),
                "id": self.id, "born": self.born}

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 30)
                method, path, headers = parse_request(head)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if await self.answer(writer, method, path, headers, body):
                    await self.close_in_order(reader, writer)
                    break
        except (asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    @staticmethod
    async def close_in_order(reader, writer):
        """After `Connection: close`: closes once the other end has, or after a second."""
        writer.write_eof()
        async with asyncio.timeout(1):
            while await reader.read(4096):
                pass

    async def answer(self, writer, method, path, headers, body):
        """Returns whether the answer says that the connection closes."""
        if path == "/health":
            return await self.answer_health(writer, method)
        request = headers.get("x-bulrushtray-request-id", "")
        echo = [f"X-Bulrushtray-Request-Id: {request}"]
        if headers.get("x-bulrushtray-expect-instance", self.id) != self.id:
            self.rig.record("other_instance", id=request, at=self.id)
            return await self.write(writer, method, 421, [*echo, "X-Bulrushtray-Not-Executed: 1"], b"")
        if not request:
            return await self.write(writer, method, 400, ["X-Bulrushtray-Not-Executed: 1"], b"")
        if self.cold_ms() > 0:
            self.cold_arrivals.append((time.monotonic(), request))
            self.rig.record("cold_arrival", id=request, at=self.id, cold_ms=self.cold_ms())
        if self.queued >= self.queue:
            self.rig.record("rejected", id=request, at=self.id)
            return await self.write(writer, method, 503, [*echo, "X-Bulrushtray-Not-Executed: 1"], b"")
        self.queued += 1
        try:
            await self.free.acquire()
        finally:
            self.queued -= 1
        try:
            self.sequence += 1
            self.runs.append((time.monotonic(), request, method, path))
            self.rig.record("run", id=request, at=self.id, service=self.service, method=method, path=path)
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.free.release()
        stamp = f"{self.number:04x}.{self.sequence:x}.{request}"
        content = self.body if self.body is not None else b"".join(random.randbytes(16) for _ in range(self.records))
        return await self.write(writer, method, 200, [*echo, f"X-Bulrushtray-Stamp: {stamp}"], content)

    async def answer_health(self, writer, method):
        """A health check waits for a slot, or is rejected, in the same way as any other request."""
        more = [f"X-Bulrushtray-Instance-Id: {self.id}", f"X-Bulrushtray-Warmup-Ms: {self.cold_ms()}"]
        if self.queued >= self.queue:
            return await self.write(writer, method, 503, [*more, "X-Bulrushtray-Not-Executed: 1"], b"")
        self.queued += 1
        try:
            await self.free.acquire()
        finally:
            self.queued -= 1
        self.free.release()
        return await self.write(writer, method, 503 if self.draining else 200, more, b"")

    async def write(self, writer, method, status, headers, body):
        closes = self.draining
        kept = "Connection: close" if closes else "Keep-Alive: timeout=30"
        lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}", kept, "", ""]
        writer.write("\r\n".join(lines).encode() + (b"" if method == "HEAD" else body))
        await writer.drain()
        return closes


class Platform:
    """The platform's list: pages of 50 entries, at most `ratePerS` calls a second."""
    PAGE = 50

    def __init__(self, rig, host, port):
        self.rig, self.host, self.port = rig, host, port
        self.reads = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, self.host, self.port, backlog=100)

    async def next_read(self):
        """Waits until the list has been read once more."""
        self.reads.clear()
        await self.reads.wait()

    def entries(self):
        return [each.entry() for each in self.rig.searchers if each.listed] + list(self.rig.other_entries)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, path, _ = parse_request(head)
                start = int(path.partition("pageToken=")[2].partition("&")[0].replace("p-", "") or 0)
                entries = self.entries()
                next_token = f"p-{start + self.PAGE}" if start + self.PAGE < len(entries) else None
                body = json.dumps({"instances": entries[start:start + self.PAGE], "nextToken": next_token}).encode()
                shown = [(each.get("id"), each.get("backend"), each.get("state"), each.get("warmupLeftMs")) for each in entries]
                self.rig.record("list_read", entries=len(entries),
                                **({"shown": shown} if len(entries) <= 8 else {}))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.reads.set()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", error=None, head=b""):
        self.status, self.headers, self.body, self.error, self.head = status, headers or {}, body, error, head


def parse_head(head):
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


def parse_request(head):
    first, headers = parse_head(head)
    method, path, _ = first.split(" ", 2)
    return method, path, headers


async def read_answer(reader, method):
    head = await reader.readuntil(b"\r\n\r\n")
    first, headers = parse_head(head)
    words = first.split(" ", 2)
    if not words[0].startswith("HTTP/1.") or len(words) < 2 or not words[1].isdigit():
        return Answer(-1, headers, head, f"no answer in the protocol: {head[:60]!r}", head)
    status, body = int(words[1]), b""
    if method != "HEAD" and status not in (204, 304):
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(status, headers, body, None, head)


async def fetch(host, port, method, path, body=b"", headers=None, timeout=2.0, connection=None):
    """One request; `connection` is a kept (reader, writer) pair. Status 0: no answer."""
    own = connection is None
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = connection if connection else await asyncio.open_connection(host, int(port))
            fields = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = str(len(body))
            if own:
                fields["Connection"] = "close"
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await writer.drain()
            return await read_answer(reader, method)
    except TimeoutError:
        return Answer(0, error="no answer in time")
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if own and writer:
            writer.close()


def main(case, play, **sizes):
    """Runs `play(rig)`, which returns what broke the rule, or None."""
    rig = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        rig = Rig(case, **sizes)
        async def limited():
            async with asyncio.timeout(110):
                return await play(rig)
        broken = asyncio.run(limited())
    except Exception as error:  # an error of the case is no broken rule
        print(f"cannot run: {type(error).__name__}: {error}")
        return CANNOT_RUN
    finally:
        if rig:
            rig.check_alive()
            rig.stop()
    print(f"rule broken: {broken}" if broken else "rule held")
    return BROKEN if broken else HELD


def route(name, prefix, kind="idempotent", timeout_ms=3000, slo_ms=500, attempts=2, **target):
    return {"name": name, "host": "pupu76.example", "pathPrefix": prefix, "type": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms,
            "priority": 1, "maxAttempts": attempts, **target}


def config(version, routes, services, max_conns=100):
    return {"version": version, "routes": routes, "limits": LIMITS,
            "backends": [{"name": name, "healthPath": "/health", "maxConns": max_conns, "protocol": "h1", "tls": False,
                          "warmupS": 3.0, "warmupPerS": 0.0} for name in services]}

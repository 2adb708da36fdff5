"""Small deployment for the review's scripts: the project's own programs as processes on loopback addresses, and stand-ins
for the platform's list of searchers, for searchers, for clients and for the operator. The stand-ins follow PROTOCOL.md."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONTROL, FRONT, READY, FLEET, METRICS, LIST, SEARCHER = 8106, 8104, 8108, 7380, 9102, 8102, 8080
MAX_RUN_S = 112  # a script ends by itself after this time
START_TIMEOUT_S = 15

# Bounds and limits of the site sites/ndiaye-wrapsearch.toml (SYSTEM.md, Annex B).
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
          "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "skewMaxMs": 12000, "retryRatio": 0.2,
          "retryWindowS": 10, "retrySlack": 56, "warmupFactor": 1.5, "warmupSlack": 5, "evacuateMs": 5000, "recoveryS": 12}
CLIENT_LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
ZONES = {"dakar-plateau": "dakar", "dakar-almadies": "dakar", "dakar-pikine": "dakar"}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.started:9.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


def free_network():
    """The first three bytes of a loopback network whose addresses nobody uses."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (CONTROL, FRONT, READY, FLEET, METRICS, LIST, SEARCHER):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Fleet:
    """Starts, kills and restarts the programs of deploy/system.toml."""

    def __init__(self, record, network):
        self.record, self.network = record, network
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.processes, self.settings = {}, {}
        self.list_address = f"{network}.2:{LIST}"

    def ip(self, last):
        return f"{self.network}.{last}"

    def describe(self, node, last, role, zone, seeds, tolerated):
        """Writes the settings file of one process, with the fields of DEPLOY.md."""
        is_front = role == "relay"
        ip = self.ip(last)
        listen = {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"} if is_front else {"control": f"{ip}:{CONTROL}"}
        self.settings[node] = {
            "node": node, "role": role, "machineClass": "front" if is_front else "core",
            "serves": ["front"] if is_front else ["control"], "ip": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
            "listen": listen, "portRange": [FLEET, FLEET + 15], "seeds": [f"{self.ip(each)}:{CONTROL}" for each in seeds],
            "bootstrap": True, "lossCounts": not is_front,
            "limits": {"cpuShare": 0.25 if is_front else 0.6, "cores": 1, "memoryMb": 260, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 0 if is_front else 128},
            "dataDir": None if is_front else str(self.folder / f"{node}-data"), "discovery": "cloud_api", "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places"],
            "faultTolerance": {"machines": tolerated, "zones": 1, "regions": 0}, "bounds": BOUNDS, "config_mode": "highest",
            "cloud": {"address": self.list_address, "ratePerS": 55.0, "duties": [], "maxLagMs": 800}}

    def start(self, node):
        settings = self.settings[node]
        path = self.folder / f"{node}.json"
        path.write_text(json.dumps(settings))
        program = f"target/bulrush-{settings['role']}"  # `run` of the role in deploy/system.toml
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BULRUSHTRAY_BOOT"] = str(path)
        with open(self.folder / f"{node}.log", "a") as log:
            self.processes[node] = subprocess.Popen([ROOT / program], cwd=ROOT, env=environment, stdout=log, stderr=log)
        settings["bootstrap"] = False  # true only when the whole system starts for the first time
        self.record.write(f"process {node} started, pid {self.processes[node].pid}")

    def signal(self, node, number):
        self.record.write(f"process {node} gets {signal.Signals(number).name}")
        self.processes[node].send_signal(number)

    def kill(self, node):
        self.signal(node, signal.SIGKILL)
        self.processes.pop(node).wait()

    def log_of(self, node):
        path = self.folder / f"{node}.log"
        return path.read_text() if path.exists() else ""

    def close(self):
        keep = os.environ.get("KEEP_LOGS")
        for node, process in self.processes.items():
            process.kill()
            process.wait()
        if keep:
            for path in self.folder.glob("*.log"):
                (pathlib.Path(keep) / path.name).write_text(path.read_text())
        self.temporary.cleanup()


class Answer:
    """A complete answer; `cut` if the connection ended before it was complete."""

    def __init__(self, status=0, headers=None, body=b"", cut=False):
        self.status, self.headers, self.body, self.cut = status, headers or {}, body, cut


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    fields = {}
    for name, _, value in (each.partition(":") for each in lines[1:] if each):
        key = name.lower()
        fields[key] = f"{fields[key]}, {value.strip()}" if key in fields else value.strip()
    return lines[0], fields


async def call(ip, port, method, target, headers=None, body=b"", timeout=3.0):
    """One request on a new connection."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": f"{ip}:{port}", **(headers or {}), "Content-Length": str(len(body)), "Connection": "close"}
            head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(head.encode("latin1") + b"\r\n" + body)
            line, answered = await read_head(reader)
            data = await reader.readexactly(int(answered.get("content-length", 0)))
            return Answer(int(line.split(" ")[1]), answered, data)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return Answer(cut=True)
    finally:
        if writer:
            writer.close()


async def wait_for(what, check, timeout=START_TIMEOUT_S):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.02)
    raise CannotRun(f"{what} within {timeout} s")


async def is_ready(fleet, last):
    return (await call(fleet.ip(last), READY, "GET", "/ready", timeout=1.0)).status == 200


async def send_order(fleet, lasts, method, target, body=b""):
    """The operator: sends the same order to one daemon after the other until it is acknowledged; follows 307."""
    for turn in range(60):
        host, port = fleet.ip(lasts[turn % len(lasts)]), CONTROL
        for _ in range(3):
            answer = await call(host, port, method, target, {"Content-Type": "application/json"}, body, 1.0)
            if answer.status != 307:
                break
            host, port = answer.headers["location"].split("/")[2].rsplit(":", 1)
        if answer.status == 200:
            return
        await asyncio.sleep(0.2)
    raise CannotRun(f"{method} {target} was not acknowledged")


async def put_config(fleet, lasts, document):
    await send_order(fleet, lasts, "PUT", "/config", json.dumps(document).encode())
    fleet.record.write(f"operator: version {document['version']} is acknowledged")


class SearcherList:
    """The platform's list: GET /instances, in pages of 50. Entries are texts, so that another writer's can be any bytes."""

    def __init__(self):
        self.entries = []  # functions that return an entry as bytes
        self.readings = 0

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, LIST)

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                self.readings += 1
                body = b'{"instances":[' + b",".join(each() for each in self.entries[:50]) + b'],"nextToken":null}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
                             + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Searcher:
    """A sound searcher: serves one request at a time on a connection, checks the instance that is meant, echoes the id of
    the request, signs its answer. `work` is a coroutine function that a case may replace."""

    def __init__(self, record, service, zone, ip, work_s=0.028, capacity=3):
        self.record, self.service, self.zone, self.ip = record, service, zone, ip
        self.work_s, self.capacity = work_s, capacity
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []  # (time, request id, target, body)
        self.arrivals = []  # (time, request id)
        self.busy = 0
        self.writers = set()

    def entry(self):
        return json.dumps({"id": self.instance, "backend": self.service, "address": f"{self.ip}:{SEARCHER}",
                           "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": self.state,
                           "warmupLeftMs": 0, "born": self.born}).encode()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, SEARCHER)

    def stop(self):
        self.server.close()
        for each in list(self.writers):
            each.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connection = Connection(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await connection.send_held()
                if target == "/health":
                    status = 200 if self.state == "ready" else 503
                    await connection.answer(status, {"X-Bulrushtray-Instance-Id": self.instance}, b"{}")
                elif headers.get("x-bulrushtray-expect-instance", self.instance) != self.instance:
                    await connection.answer(421, {"X-Bulrushtray-Not-Executed": "1", **echo(headers)}, b"")
                else:
                    self.arrivals.append((time.monotonic(), headers.get("x-bulrushtray-request-id", "")))
                    await self.handle(connection, target, headers, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, connection, target, headers, body):
        await self.run(connection, target, headers, body, self.work_s)

    async def run(self, connection, target, headers, body, work_s):
        request = headers.get("x-bulrushtray-request-id", "")
        self.runs.append((time.monotonic(), request, target, body))
        self.busy += 1
        await asyncio.sleep(work_s)
        self.busy -= 1
        stamp = f"{request}.{self.service}.{len(self.runs):x}"
        self.record.write(f"searcher {self.service} ran {request} in {work_s * 1000:.0f} ms")
        is_leaving = self.state != "ready"
        fields = {"X-Bulrushtray-Stamp": stamp, **echo(headers), **({"Connection": "close"} if is_leaving else {})}
        await connection.answer(200, fields, record_of(request, self.service))
        if is_leaving:
            connection.writer.close()


def echo(headers):
    name = "x-bulrushtray-request-id"
    return {"X-Bulrushtray-Request-Id": headers[name]} if name in headers else {}


def record_of(request, service):
    """The record of 16 bytes that a searcher returns for a request."""
    import hashlib
    return hashlib.blake2b(f"{request}/{service}".encode(), digest_size=16).digest()


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.held = b""  # bytes that the searcher sends where its next answer is expected

    async def send_held(self):
        if self.held:
            self.writer.write(self.held)
            self.held = b""
            await self.writer.drain()

    async def answer(self, status, headers, body):
        self.writer.write(encode(status, headers, body))
        await self.writer.drain()


def encode(status, headers, body):
    fields = {**headers, "Content-Length": str(len(body))}
    return (f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode() + body


def backends(names, max_conns=31):
    return [{"name": each, "healthPath": "/health", "maxConns": max_conns, "protocol": "h1", "tls": False, "warmupS": 3.0,
             "warmupPerS": 0.0} for each in names]


def main(folder, case, trouble):
    """Runs a case: a coroutine function of record and fleet that returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes on the way
    record = Record(folder)
    fleet = None

    async def limited():
        async with asyncio.timeout(MAX_RUN_S):
            return await case(record, fleet, trouble)

    try:
        for each in ("registry", "relay"):
            if not (ROOT / f"target/bulrush-{each}").exists():
                raise CannotRun(f"target/bulrush-{each} is not built")
        fleet = Fleet(record, free_network())
        held = asyncio.run(limited())
    except Exception as error:  # of the script or its stand-ins: says nothing about the rule
        record.write(f"the case could not run: {error!r}")
        return 2
    finally:
        if fleet:
            fleet.close()
    record.write("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)  # open connections of the stand-ins need no orderly end

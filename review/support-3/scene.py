"""A small deployment on loopback addresses: gateways and agents as real
processes, started with the commands of the deploy file, and stand-ins of the
platform's store, of runners and of consumers in one event loop."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
MODEL = "m1"
KEY = "caller-key"
HOST = "h"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, NOT_RUN = 1, 0, 2

# The bounds of the sheet of the first installation (tmrcu-coupons).
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
    "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 116, "recoverS": 12,
    "transitMs": 120, "reuseWindowS": 20, "requireFencing": False,
    "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 8000,
    "versionAllMs": 11000}


class CannotRun(Exception):
    """The deployment did not reach the state in which the case begins."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def route(name, kind, service, attempts, timeout_ms=15000, aim_ms=300):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/",
            "kind": kind, "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms,
            "gapAimMs": 250, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": False,
            "sticky": kind == "streaming", "resumable": kind == "streaming"}


def configuration(number, routes, keys=(KEY,), tenants=None):
    services = sorted({entry["service"] for entry in routes})
    return {"version": number, "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "w", "apiKeys": list(keys)}]}


# --- HTTP/1.1 -------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers (lower-case names) and the body;
    None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Service:
    """A server that can leave its port and come back to it."""

    def __init__(self, ip):
        self.ip = ip
        self.port = free_port(ip)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self.accept, self.ip, self.port, backlog=512)

    def leave(self, resets=False):
        """Closes the port and all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer) if resets else writer.close()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


# --- The platform's store -------------------------------------------------

class Store(Service):
    """Rows in tables, with feeds. It may return from a copy some seconds
    old."""

    ANSWER_S = 0.004

    def __init__(self, ip):
        super().__init__(ip)
        self.rows = {}
        self.version = 0
        self.era = 1
        self.copy = None
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, table, key, value, part=""):
        """Writes a row; None removes it."""
        self.version += 1
        self.rows[(table, part, key)] = (self.version, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put_json(self, table, key, value):
        return self.put(table, key, json.dumps(value).encode())

    def values(self, table):
        return {key: value for (name, _, key), (_, value) in self.rows.items()
                if name == table and value is not None}

    def take_copy(self):
        self.copy = (dict(self.rows), self.version)

    def return_from_copy(self):
        self.rows, self.version = dict(self.copy[0]), self.copy[1]
        self.era += 1

    def row(self, table, part, key):
        version, value = self.rows[(table, part, key)]
        found = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            found["tombstone"] = True
        else:
            found["value"] = base64.b64encode(value).decode()
        return found

    def document(self, rows):
        return {"rows": rows, "ver": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            line, _, body = message
            self.calls += 1
            path, _, query = line.split()[1].partition("?")
            query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            await asyncio.sleep(self.ANSWER_S)
            status, document = await self.execute(path, query, body)
            writer.write(response_bytes(
                status, [("Store-Era", self.era),
                         ("Content-Type", "application/json")],
                json.dumps(document).encode()))
            await writer.drain()

    async def execute(self, path, query, body):
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        table = query.get("table", "")
        if path == "/rows-get":
            part, limit = query.get("part", ""), int(query.get("limit", 500))
            keys = sorted(
                key for (name, row_part, key), (_, value) in self.rows.items()
                if name == table and row_part == part and value is not None
                and key >= query.get("from", ""))
            return 200, self.document(
                [self.row(table, part, key) for key in keys[:limit]]) | {
                    "hasMore": len(keys) > limit}
        if path == "/rows-feed":
            after = int(query["after"])
            if after > self.version:
                return 410, {}
            deadline = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                changes = sorted(
                    (row for row in self.rows
                     if row[0] == table and self.rows[row][0] > after),
                    key=lambda row: self.rows[row][0])
                left = deadline - time.monotonic()
                if changes or left <= 0:
                    return 200, self.document(
                        [self.row(*row) for row in changes])
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
        return 404, {}

    def transact(self, call):
        def version_of(entry):
            version, value = self.rows.get(
                (entry["table"], entry["part"], entry["key"]), (0, None))
            return 0 if value is None else version

        if any(version_of(entry) != entry["ver"]
               for entry in call.get("expected", [])):
            rows = [self.row(entry["table"], entry["part"], entry["key"])
                    for entry in call["expected"] if version_of(entry)]
            return 412, self.document(rows)
        if any(entry["table"] in ("op", "servers")
               for entry in call.get("puts", []) + call.get("remove", [])):
            return 403, {}
        for entry in call.get("puts", []):
            self.put(entry["table"], entry["key"],
                     base64.b64decode(entry["value"]), entry["part"])
        for entry in call.get("remove", []):
            self.put(entry["table"], entry["key"], None, entry["part"])
        return 200, {"ver": self.version,
                     "nowMs": int(time.monotonic() * 1000)}


class Link:
    """A proxy before a service. silence() makes the open connections silent
    for good, while new ones work."""

    def __init__(self, ip, target):
        self.ip, self.target = ip, target
        self.port = free_port(ip)
        self.open = set()
        self.refuses = False

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self.accept, self.ip, self.port, backlog=512)

    def silence(self):
        """Returns the number of connections that fell silent."""
        count = len(self.open)
        for connection in self.open:
            connection["silent"] = True
        self.open.clear()
        return count

    def turn_away(self):
        """Resets the open connections, and each new one until let_in()."""
        self.refuses = True
        for connection in list(self.open):
            for end in connection["ends"]:
                reset(end)

    def let_in(self):
        self.refuses = False

    async def accept(self, reader, writer):
        if self.refuses:
            reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                self.target.ip, self.target.port)
        except OSError:
            reset(writer)
            return
        connection = Connection()
        connection["ends"] = (writer, up_writer)
        self.open.add(connection)
        for end in (writer, up_writer):
            end.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        async def forward(source, sink, last):
            try:
                while data := await source.read(65536):
                    if connection["silent"]:
                        # Nothing passes any more, not even the end.
                        await asyncio.sleep(3600)
                    connection[last] = time.monotonic()
                    if last == "from_gateway":
                        connection["call"] = data.split(b"\r\n", 1)[0]
                    sink.write(data)
                    await sink.drain()
            except ConnectionError:
                pass
            if connection["silent"]:
                await asyncio.sleep(3600)
            with contextlib.suppress(Exception):
                sink.close()

        await asyncio.gather(forward(reader, up_writer, "from_gateway"),
                             forward(up_reader, writer, "from_store"))
        self.open.discard(connection)


class Connection(dict):
    """State of one connection through a link."""

    def __init__(self):
        # Times of the last bytes from either side, and the last call.
        super().__init__(silent=False, from_gateway=0.0, from_store=0.0,
                         call=b"")

    __hash__ = object.__hash__
    __eq__ = object.__eq__


# --- Runners --------------------------------------------------------------

class Runner(Service):
    """A sound runner. Each event of a stream bears the version of its
    software, so that a consumer sees which one made it."""

    numbers = itertools.count(1)

    def __init__(self, scene, ip, service, software="v1", events=20,
                 event_s=0.25, work_s=0.01, framing="chunked"):
        super().__init__(ip)
        self.scene, self.service, self.software = scene, service, software
        self.number = next(self.numbers)
        self.id = f"i-{service}-{self.number}"
        self.born = int(time.time() * 1000)
        self.events, self.event_s, self.work_s = events, event_s, work_s
        # "chunked", or "until_close": the stream ends with its channel.
        self.framing = framing
        self.state = "ready"
        self.says_leaving = False
        self.sequence = 0
        self.weights = 1
        self.runs = []

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "z",
                "version": self.software, "slots": 64, "state": self.state,
                "coldLeftMs": 0, "sequence": self.sequence, "born": self.born,
                "models": [{"name": MODEL, "version": self.weights,
                            "adapters": []}]}

    def register(self):
        self.scene.store.put_json("servers", self.id, self.entry())
        self.scene.record.write(
            f"runner {self.id} writes its entry: {self.software} {self.state}")

    async def start(self):
        await self.listen()
        self.register()

    def common_headers(self, request):
        headers = [("Request-Id", request), ("Instance-Id", self.id),
                   ("Weight-Versions", self.weights),
                   ("Keep-Alive", "timeout=10")]
        if self.says_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def serve(self, reader, writer):
        while message := await read_message(reader):
            line, headers, body = message
            method, target, _ = line.split()
            if target == "/report":
                writer.write(response_bytes(
                    200, [("Content-Type", "application/json")],
                    json.dumps({
                        "stage": "prefill_decode", "busy": False,
                        "models": self.entry()["models"], "queued": 0,
                        "running": 0, "kvUsed": 0, "kvTotal": 64000,
                        "handles": 0, "sequence": self.sequence, "runs": [],
                        "state": self.state, "born": self.born}).encode()))
                await writer.drain()
                continue
            if target == "/order":
                order = json.loads(body)
                self.sequence += 1
                self.weights = order["version"]
                writer.write(response_bytes(202))
                await writer.drain()
                self.register()
                continue
            if not await self.answer(method, target, headers, body, writer):
                return

    async def answer(self, method, target, headers, body, writer):
        request = headers.get("request-id", "")
        expected_weights = headers.get("expect-version")
        if headers.get("expect-instance", self.id) != self.id or (
                expected_weights and int(expected_weights) != self.weights):
            writer.write(response_bytes(
                421, self.common_headers(request) + [("Not-Executed", "1")]))
            await writer.drain()
            return True
        self.runs.append((time.monotonic(), request))
        self.scene.record.write(
            f"runner {self.id} ({self.software}) runs {request} "
            f"last-event-id={headers.get('last-event-id', '-')} "
            f"tenant={headers.get('tenant', '-')}")
        stamp = self.common_headers(request) + [
            ("Server-Stamp", f"{self.id}.{request}")]
        if not target.startswith("/ask/"):
            await asyncio.sleep(self.work_s)
            writer.write(response_bytes(200, stamp, f"done {request}".encode()))
            await writer.drain()
            return True
        await self.stream(headers, stamp, writer)
        return self.framing == "chunked"

    async def stream(self, headers, stamp, writer):
        chunked = self.framing == "chunked"
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in
                                       stamp]
        lines += ["Content-Type: text/event-stream",
                  "Transfer-Encoding: chunked" if chunked
                  else "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {number}@{self.software}\n\n"
            writer.write((f"{len(event):x}\r\n{event}\r\n" if chunked
                          else event).encode())
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


class RunnerProcess:
    """A runner as a process of its own, so that its end is a real one."""

    def __init__(self, scene, ip, service, **options):
        self.scene = scene
        self.runner = Runner(scene, ip, service, **options)
        self.child = None

    async def start(self):
        runner = self.runner
        settings = {name: getattr(runner, name) for name in
                    ("id", "ip", "port", "service", "software", "born",
                     "events", "event_s", "work_s", "framing")}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).with_name(
                "runner_process.py")), json.dumps(settings),
            stdout=asyncio.subprocess.PIPE)
        line = await self.child.stdout.readline()
        if line.strip() != b"listens":
            raise CannotRun("a runner does not listen")
        self.output = asyncio.create_task(self.copy_output())
        self.runner.register()

    async def copy_output(self):
        while line := await self.child.stdout.readline():
            self.scene.record.write(line.decode().rstrip())

    def drain(self):
        """The runner reports that it drains, and says so in its answers."""
        self.child.send_signal(signal.SIGUSR1)
        self.runner.state = "draining"
        self.runner.register()

    def kill(self):
        self.child.kill()
        self.scene.record.write(f"runner {self.runner.id} is killed")


# --- Processes ------------------------------------------------------------

def deploy_command(role):
    """Returns the command of a role of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


class Process:
    def __init__(self, scene, role, name, settings):
        self.role, self.name = role, name
        self.scene = scene
        self.settings = scene.folder / f"{name}.yaml"
        # JSON is valid YAML.
        self.settings.write_text(json.dumps(settings))
        self.log = scene.folder / f"{name}.log"
        self.child = None

    def start(self):
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WAGTAILSEAM_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                deploy_command(self.role), cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.scene.record.write(f"{self.name} starts")

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
            self.scene.record.write(f"{self.name} is killed")

    def signal(self, number):
        self.child.send_signal(number)
        self.scene.record.write(
            f"{self.name} gets {signal.Signals(number).name}")

    def ended_by_itself(self):
        return self.child is not None and self.child.poll() is not None

    def log_lines(self, words):
        return [line for line in
                self.log.read_text(errors="replace").splitlines()
                if words in line]


class Gateway(Process):
    def __init__(self, scene, number, ip, link):
        self.number, self.ip, self.link = number, ip, link
        self.port, self.ready_port = free_port(ip), free_port(ip)
        internal = free_port(ip)
        super().__init__(scene, "gateway", f"front-{number}", {
            "nodeName": f"front-{number}", "role": "gateway",
            "machineClass": "front", "serves": ["front"], "ip": ip,
            "zone": "z", "region": "r", "zones": {"z": "r"},
            "listen": {"front": f"{ip}:{self.port}",
                       "ready": f"{ip}:{self.ready_port}"},
            "internalPorts": [internal, internal], "seeds": [],
            "firstStart": True, "bounds": BOUNDS, "heartbeatMs": 1200,
            "limits": {"cpuShare": 0.13, "cores": 1, "memoryMb": 182,
                       "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform",
            "platform": {"address": link.address, "form": "table",
                         "writesPerS": 400, "readsPerS": 2000,
                         "rowBytes": 65536, "across": False,
                         "historyS": 20}})

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return line.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False


class Scene:
    """The deployment and its record. Ends all that it started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        # Addresses that no other run uses at the same time.
        self.net = f"127.{random.randrange(20, 240)}.{random.randrange(256)}"
        self.hosts = itertools.count(10)
        self.store = Store(self.next_ip())
        self.gateways, self.agents, self.runners = [], [], []
        self.runner_processes = []
        self.closed = False

    def next_ip(self):
        return f"{self.net}.{next(self.hosts)}"

    async def start_store(self, config, weights=1):
        self.store.put_json("op", "config", config)
        self.store.put_json("op", f"version/{MODEL}",
                            {"model": MODEL, "version": weights})
        await self.store.listen()

    async def add_runner(self, service, **options):
        runner = Runner(self, self.next_ip(), service, **options)
        self.runners.append(runner)
        await runner.start()
        return runner

    async def add_runner_process(self, service, **options):
        process = RunnerProcess(self, self.next_ip(), service, **options)
        self.runner_processes.append(process)
        await process.start()
        return process

    async def add_gateway(self):
        link = Link(self.next_ip(), self.store)
        await link.listen()
        gateway = Gateway(self, len(self.gateways) + 1, self.next_ip(), link)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def add_agent(self, runner):
        ip = self.next_ip()
        internal = free_port(ip)
        agent = Process(self, "agent", f"side-{len(self.agents) + 1}", {
            "nodeName": f"side-{len(self.agents) + 1}", "role": "agent",
            "machineClass": "side", "serves": ["side"], "ip": ip, "zone": "z",
            "region": "r", "zones": {"z": "r"}, "app": runner.address,
            "service": runner.service, "internalPorts": [internal, internal],
            "listen": {}, "bounds": BOUNDS, "heartbeatMs": 1200,
            "platform": {"address": self.store.address, "form": "table",
                         "writesPerS": 400, "readsPerS": 2000}})
        self.agents.append(agent)
        agent.start()
        return agent

    async def wait(self, condition, limit_s, what):
        deadline = time.monotonic() + limit_s
        while True:
            holds = condition()
            if asyncio.iscoroutine(holds):
                holds = await holds
            if holds:
                return
            if time.monotonic() > deadline:
                raise CannotRun(f"{what}: not within {limit_s} s")
            await asyncio.sleep(0.02)

    async def wait_ready(self, gateways=None, limit_s=20):
        for gateway in gateways or self.gateways:
            await self.wait(gateway.ready, limit_s, f"{gateway.name} is ready")
        self.record.write("gateways are ready")

    def close(self):
        if self.closed:
            return
        self.closed = True
        for process in self.gateways + self.agents:
            if process.child and process.child.poll() is None:
                process.child.kill()
                process.child.wait()
        for process in self.runner_processes:
            if process.child and process.child.returncode is None:
                process.child.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


# --- Consumers ------------------------------------------------------------

def request_bytes(kind, request, deadline_ms, key=KEY, body=b"text",
                  more=(), part=None):
    method = "GET" if kind == "look" else "POST"
    lines = [f"{method} /{kind}/x HTTP/1.1", f"Host: {HOST}",
             f"Request-Id: {request}", f"Deadline-Ms: {int(deadline_ms)}",
             f"Authorization: Bearer {key}"]
    if kind == "ask":
        # Some requests share the first part of their prompt; the last part is
        # a request's own.
        own = zlib.crc32(request.encode())
        lines += [f"Model: {MODEL}", "Token-Usage: 110,20",
                  f"Prompt-Prefix: {part or f'aa{own % 12:02x}'}:100,"
                  f"{own:08x}:10"]
    lines += [f"{name}: {value}" for name, value in more]
    body = b"" if method == "GET" else body
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Channel:
    """A consumer's channel to a gateway."""

    def __init__(self, gateway):
        self.gateway = gateway

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.gateway.ip, self.gateway.port), 1)

    async def send(self, *arguments, **named):
        self.writer.write(request_bytes(*arguments, **named))
        await self.writer.drain()

    async def head(self):
        """Returns status and headers, None at the end of the channel."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        return int(lines[0].split()[1]), headers

    async def body(self, headers):
        """Yields the parts of a body; raises if it breaks off."""
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.readline()).split(b";")[0], 16)
                if size == 0:
                    await self.readline()
                    return
                yield await self.reader.readexactly(size)
                await self.readline()
        else:
            left = int(headers.get("content-length", 0))
            if left:
                yield await self.reader.readexactly(left)

    async def readline(self):
        line = await self.reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("broken off")
        return line

    def close(self):
        with contextlib.suppress(Exception):
            self.writer.close()


async def ask_once(gateway, kind, request, deadline_ms=5000, key=KEY,
                   body=b"text", more=(), part=None):
    """Returns status, headers and body; None if the channel breaks."""
    channel = Channel(gateway)
    try:
        await channel.open()
        await channel.send(kind, request, deadline_ms, key=key, body=body,
                           more=more, part=part)
        head = await asyncio.wait_for(channel.head(), deadline_ms / 1000 + 2)
        if head is None:
            return None
        text = b""
        async for part in channel.body(head[1]):
            text += part
        return head[0], head[1], text
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        channel.close()


def main(folder, case):
    """Runs a case: a coroutine function that takes a scene and returns whether
    the rule held. Ends this process."""
    scene = Scene(folder)

    async def run():
        try:
            held = await asyncio.wait_for(case(scene), 112)
            code = HELD if held else BROKEN
            text = "the rule held" if held else "the rule was broken"
        except (CannotRun, asyncio.TimeoutError) as reason:
            code, text = NOT_RUN, f"cannot run: {reason!r}"
        except Exception:
            traceback.print_exc()
            code, text = NOT_RUN, "cannot run: an error of the case itself"
        scene.close()
        scene.record.write(text)
        print(text, flush=True)
        # Open connections of the stand-ins need no orderly end.
        os._exit(code)

    try:
        asyncio.run(run())
    finally:
        scene.close()
    sys.exit(NOT_RUN)

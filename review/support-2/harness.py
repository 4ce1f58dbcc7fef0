"""A small deployment on loopback for the scripted cases: the programs of the
deploy file as separate processes, and stand-ins of the platform's store, of
runners and of callers. Every process and stand-in has loopback addresses of its
own."""

import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "caller-key"
MODEL = "m1"
# Time in which a runner loads new weights.
LOAD_S = 0.57
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be carried out."""


def lookup(headers, name, default=None):
    """Returns the value of a header field; names are case-insensitive."""
    for field, value in headers:
        if field.lower() == name.lower():
            return value
    return default


class Reader:
    """Buffered reads from a socket."""

    def __init__(self, connection):
        self.connection, self.buffer = connection, b""

    def fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError("the peer has closed the channel")
        self.buffer += data

    def until(self, end):
        while end not in self.buffer:
            self.fill()
        found, self.buffer = self.buffer.split(end, 1)
        return found

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        found, self.buffer = self.buffer[:size], self.buffer[size:]
        return found

    def head(self):
        """Returns the first line and the header fields of a message."""
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = [tuple(part.strip() for part in line.split(":", 1))
                  for line in lines[1:]]
        return lines[0], fields

    def chunks(self):
        body = b""
        while size := int(self.until(b"\r\n").split(b";")[0], 16):
            body += self.exactly(size)
            self.until(b"\r\n")
        while self.until(b"\r\n"):
            pass
        return body

    def request_body(self, headers):
        if "chunked" in lookup(headers, "Transfer-Encoding", ""):
            return self.chunks()
        return self.exactly(int(lookup(headers, "Content-Length", 0)))


# Ports that the settings and the programs fix, at each machine's own address.
CALLER_PORT, READINESS_PORT = 8749, 8741
MACHINE_PORTS = (CALLER_PORT, READINESS_PORT, 7580, 9464)


class Address:
    """Gives each party a loopback address of its own, where the fixed ports are
    free."""

    used = set()

    @staticmethod
    def is_free(ip):
        try:
            for port in MACHINE_PORTS:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            return False
        return True

    @classmethod
    def take(cls):
        for _ in range(200):
            ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}." \
                 f"{random.randint(2, 250)}"
            if ip not in cls.used and cls.is_free(ip):
                cls.used.add(ip)
                return ip
        raise CannotRun("no free loopback address was found")


class Server:
    """A TCP server with a thread for each channel."""

    def __init__(self, ip=None, port=None):
        self.ip = ip or Address.take()
        self.listener = socket.create_server(
            (self.ip, port or 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.address = f"{self.ip}:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(connection,),
                             daemon=True).start()

    def run(self, connection):
        try:
            self.converse(connection, Reader(connection))
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()


def encode_response(status, headers=(), body=b"", reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store(Server):
    """The platform's store: rows in tables, transactions and a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        super().__init__()

    def put(self, table, key, value, part=""):
        with self.changed:
            self.version += 1
            self.rows[(table, part, key)] = (self.version, value)
            self.changed.notify_all()
            return self.version

    def put_json(self, table, key, document):
        return self.put(table, key, json.dumps(document).encode())

    def converse(self, connection, reader):
        while True:
            line, headers = reader.head()
            body = reader.request_body(headers)
            _, target, _ = line.split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, document = self.execute(url.path, query, body)
            connection.sendall(encode_response(
                status, [("Content-Type", "application/json"),
                         ("Store-Era", "1")], json.dumps(document).encode()))

    def encode_rows(self, rows):
        encoded = []
        for (table, part, key), (version, value) in rows:
            row = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            encoded.append(row)
        return encoded

    def rows_after(self, table, after):
        return sorted(((key, row) for key, row in self.rows.items()
                       if key[0] == table and row[0] > after),
                      key=lambda entry: entry[1][0])

    def execute(self, path, query, body):
        with self.changed:
            common = {"ver": self.version, "nowMs": int(time.time() * 1000)}
            if path == "/rows-get":
                rows = sorted(
                    (key, row) for key, row in self.rows.items()
                    if key[0] == query["table"] and
                    key[1] == query.get("part", "") and row[1] is not None and
                    key[2] >= query.get("from", "") and
                    ("target" not in query or key[2] < query["target"]))
                limit = int(query.get("limit", 500))
                return 200, common | {"rows": self.encode_rows(rows[:limit]),
                                      "hasMore": len(rows) > limit}
            if path == "/rows-feed":
                after = int(query["after"])
                if after > self.version:
                    return 410, common
                self.changed.wait_for(
                    lambda: self.rows_after(query["table"], after),
                    int(query["waitMs"]) / 1000)
                return 200, {"rows": self.encode_rows(
                    self.rows_after(query["table"], after)),
                    "ver": self.version, "nowMs": int(time.time() * 1000)}
            if path == "/rows-tx":
                return self.transact(json.loads(body), common)
            return 404, common

    def transact(self, transaction, common):
        def key_of(row):
            return row["table"], row.get("part", ""), row["key"]

        def live(key):
            version, value = self.rows.get(key, (0, None))
            return 0 if value is None else version

        expected = transaction.get("expected", [])
        if any(live(key_of(row)) != row["ver"] for row in expected):
            current = [(key_of(row), self.rows[key_of(row)])
                       for row in expected if live(key_of(row))]
            return 412, common | {"rows": self.encode_rows(current)}
        self.version += 1
        for row in transaction.get("puts", []):
            self.rows[key_of(row)] = (
                self.version, base64.b64decode(row["value"]))
        for row in transaction.get("remove", []):
            self.rows[key_of(row)] = (self.version, None)
        self.changed.notify_all()
        return 200, common | {"ver": self.version}


class Runner(Server):
    """A sound runner. It notes each request that it ran. `answer` may be
    replaced to answer otherwise."""

    def __init__(self, deployment, service, number):
        self.deployment, self.service = deployment, service
        self.id = f"{service}-{number}"
        # Versions of the models' weights.
        self.models = {MODEL: 1}
        # The order in progress, and the number of accepted ones.
        self.order, self.sequence = None, 0
        self.born = int(time.time() * 1000) - 60_000
        self.runs = collections.Counter()
        super().__init__()

    def register(self, state="ready"):
        self.deployment.store.put_json("servers", self.id, {
            "service": self.service, "address": self.address, "zone": "z",
            "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
            "models": self.list_models()})

    def list_models(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in self.models.items()]

    def converse(self, connection, reader):
        while True:
            line, headers = reader.head()
            body = reader.request_body(headers)
            method, target, _ = line.split(" ")
            if target == "/report":
                connection.sendall(self.report())
                continue
            if target == "/order":
                connection.sendall(self.take_order(json.loads(body)))
                continue
            request = lookup(headers, "Request-Id", "")
            if lookup(headers, "Expect-Instance", self.id) != self.id:
                connection.sendall(encode_response(
                    421, self.common_headers(request) +
                    [("Not-Executed", "1")]))
                continue
            model = lookup(headers, "Model")
            expected = lookup(headers, "Expect-Version")
            if expected and int(expected) != self.models.get(model):
                connection.sendall(encode_response(
                    421, self.common_headers(request) + [
                        ("Not-Executed", "1"),
                        ("Weight-Versions", str(self.models.get(model)))]))
                continue
            if self.order and self.order["model"] == model:
                connection.sendall(encode_response(
                    503, self.common_headers(request) +
                    [("Not-Executed", "1")]))
                continue
            self.deployment.note(
                f"{self.id} runs {method} {target} id={request} "
                f"body={len(body)}")
            self.runs[request] += 1
            self.answer(connection, method, target, headers, body)

    def report(self):
        return encode_response(
            200, [("Content-Type", "application/json")], json.dumps({
                "stage": "prefill_decode", "busy": self.order is not None,
                "sequence": self.sequence, "queued": 0, "running": 0,
                "kvUsed": 0, "kvTotal": 64400, "handles": 0, "runs": [],
                "born": self.born, "models": self.list_models()}).encode())

    def take_order(self, order):
        if self.order or order.get("expected", self.sequence) != self.sequence:
            return encode_response(409)
        if order["op"] != "version":
            return encode_response(400)
        if self.models.get(order["model"]) == order["version"]:
            return encode_response(200)
        self.order = order
        self.sequence += 1
        self.deployment.note(f"{self.id} takes the order {json.dumps(order)}")
        threading.Timer(LOAD_S, self.finish_order).start()
        return encode_response(202)

    def finish_order(self):
        self.models[self.order["model"]] = self.order["version"]
        self.order = None
        self.register()

    def common_headers(self, request):
        return [("Request-Id", request), ("Instance-Id", self.id)]

    def proof(self, request):
        return self.common_headers(request) + [
            ("Server-Stamp", f"stamp-{self.id}-{request}")]

    def answer(self, connection, method, target, headers, body):
        request = lookup(headers, "Request-Id", "")
        connection.sendall(encode_response(
            200, self.proof(request), f"done {request}".encode()))


def route(name, kind, service, attempts=1):
    return {"name": name, "host": "h", "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": 5000, "targetLatencyMs": 300, "gapAimMs": 250,
            "priority": 1, "service": service, "maxAttempts": attempts,
            "public": False, "resumable": kind == "streaming",
            "sticky": kind == "streaming"}


class Process:
    """A process of one role, started as the deploy file says."""

    def __init__(self, folder, program, settings):
        self.name = settings["nodeName"]
        path = folder / f"{self.name}.yaml"
        # JSON is valid YAML.
        path.write_text(json.dumps(settings))
        program_path = ROOT / "target" / "bin" / program
        if not program_path.exists():
            raise CannotRun(f"{program} was not built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME",
                       "LANG") if name in os.environ}
        environment["WAGTAILSEAM_NODE_FILE"] = str(path)
        self.log = folder / f"{self.name}.log"
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [program_path], cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.child.poll() is None

    def signal(self, number):
        self.child.send_signal(number)

    def end(self):
        if self.alive():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()


class Deployment:
    """Use as a context manager; the end stops all processes."""

    def __init__(self, routes, record, services=("ledger",)):
        self.record = open(record, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.processes = []
        self.runners = []
        self.configuration = {
            "version": 3, "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "w", "apiKeys": [KEY], "isolated": False}]}
        self.store.put_json("op", "config", self.configuration)
        self.name_weights(MODEL, 1)

    def name_weights(self, model, version):
        self.note(f"the operator names version {version} of {model}")
        self.store.put_json("op", f"version/{model}",
                            {"model": model, "version": version})

    def note(self, text):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.record.flush()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.end()
        self.temporary.cleanup()
        self.record.close()

    def add_runner(self, kind, service, number, **options):
        runner = kind(self, service, number, **options)
        runner.register()
        self.runners.append(runner)
        return runner

    def base_settings(self, name, machine_class, ip):
        return {
            "nodeName": name, "machineClass": machine_class, "ip": ip,
            "zone": "z", "region": "r", "zones": {"z": "r"},
            "internalPorts": [7580, 7595], "seeds": [], "firstStart": True,
            "limits": {"cpuShare": 0.13, "cores": 1, "memoryMb": 182,
                       "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
            "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": 1200,
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000,
                "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
                "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "skewMaxMs": 5000,
                "failClosed": False, "revokeMs": 5000,
                "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                "retryBudgetSlack": 116, "recoverS": 12, "transitMs": 120,
                "reuseWindowS": 20, "requireFencing": False, "leaseMs": 3000,
                "thawSlackMs": 300, "versionMs": 8000, "versionAllMs": 11000},
            "platform": {
                "address": self.store.address, "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0,
                "partWritesS": 200, "rowBytes": 65536, "across": False,
                "historyS": 20}}

    def add_gateway(self, number):
        ip = Address.take()
        settings = self.base_settings(f"front-{number}", "front", ip) | {
            "role": "gateway", "serves": ["front"],
            "listen": {"front": f"{ip}:{CALLER_PORT}",
                       "ready": f"{ip}:{READINESS_PORT}"}}
        process = Process(self.folder, "wagtail-gateway", settings)
        process.ip = ip
        self.processes.append(process)
        return process

    def add_agent(self, engine):
        """Starts the agent of the machine on which the engine runs."""
        ip = Address.take()
        settings = self.base_settings(f"side-{engine.id}", "side", ip) | {
            "role": "agent", "serves": ["side"], "listen": {},
            "app": engine.address, "service": engine.service}
        self.processes.append(Process(self.folder, "wagtail-agent", settings))

    def wait_ready(self, gateway, limit_s=20):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if not gateway.alive():
                raise CannotRun(f"{gateway.name} ended: " +
                                gateway.log.read_text(errors="replace")[-600:])
            try:
                with socket.create_connection(
                        (gateway.ip, READINESS_PORT), 1) as probe:
                    probe.settimeout(1)
                    probe.sendall(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
                    line, _ = Reader(probe).head()
                    if " 200 " in line:
                        self.note(f"{gateway.name} is ready")
                        return
            except (OSError, EOFError):
                pass
            time.sleep(0.05)
        raise CannotRun(f"{gateway.name} is not ready after {limit_s} s")


def encode_request(method, target, request, headers=(), body=None,
                   deadline_ms=5000, key=KEY, host="h"):
    fields = [("Host", host), ("Request-Id", request),
              ("Deadline-Ms", str(deadline_ms)),
              ("Authorization", f"Bearer {key}"), *headers]
    if body is not None:
        fields.append(("Content-Length", str(len(body))))
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields)
    return head.encode("latin-1") + b"\r\n" + (body or b"")


class Caller:
    """A kept channel of a caller."""

    def __init__(self, gateway, timeout_s=8):
        self.connection = socket.create_connection(
            (gateway.ip, CALLER_PORT), 2)
        self.connection.settimeout(timeout_s)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)

    def send(self, data):
        self.connection.sendall(data)

    def receive(self, method="GET"):
        """Returns status, header fields and body of the next answer, read as
        RFC 9112 says. Raises ValueError for bytes that are no answer."""
        line, headers = self.reader.head()
        fields = line.split(" ", 2)
        if len(fields) < 2 or not fields[0].startswith("HTTP/1.") or \
                not fields[1].isdigit():
            raise ValueError(f"no answer in the protocol: {line!r}")
        status = int(fields[1])
        if method == "HEAD" or status < 200 or status in (204, 304):
            return status, headers, b""
        if "chunked" in lookup(headers, "Transfer-Encoding", ""):
            return status, headers, self.reader.chunks()
        length = lookup(headers, "Content-Length")
        if length is None:
            body = b""
            try:
                while True:
                    self.reader.fill()
            except EOFError:
                body, self.reader.buffer = self.reader.buffer, b""
            return status, headers, body
        return status, headers, self.reader.exactly(int(length))

    def close(self):
        self.connection.close()


def main(check, folder, limit_s=100):
    """Runs a case and ends the process with its result: 0 if the rule held, 1
    if it was broken, 2 if the case could not run.
    @param check gets the path of the record; returns whether the rule held"""
    def interrupt(*_):
        raise CannotRun("interrupted, or out of time")

    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, interrupt)
    signal.alarm(limit_s)
    try:
        held = check(pathlib.Path(folder) / "record.txt")
    except (CannotRun, OSError, EOFError, ValueError) as problem:
        print(f"could not run: {problem!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

"""Stand-in for the platform's runners: model runners and plain services."""

import json
import socket
import struct
import threading
import time
import urllib.parse
import uuid

import web

MODEL = "m0"
HEARTBEAT_S = 1.2


class Runner:
    """A runner that registers itself, follows orders, keeps parts of prompts in
    its KV cache and runs requests. Subclasses or attributes set how long."""

    def __init__(self, ip, store, service, record, slots=16):
        self.store, self.service, self.record = store, service, record
        self.slots = slots
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.version = 1
        self.orders = 0
        self.state = "ready"
        self.leaving = False
        self.lock = threading.Lock()
        self.slot_free = threading.Condition(self.lock)
        # Requests that may wait for a slot, and those that do.
        self.queue, self.queued = 2, 0
        self.running = 0
        self.started = 0
        # Who made each cached part, by salt and the parts up to it.
        self.cache = {}
        # Events of a stream and the pause before each; both may be replaced.
        self.events = 6
        self.event_pause_s = 0.02
        self.work_s = 0.02
        # Time to read a prompt, before the head of the response.
        self.prefill_s = 0.0
        # A runner that is silent sends nothing before this time.
        self.silent_until = 0.0
        self.listed = True
        # The entry as it was last written.
        self.written = None
        self.server = web.Server(ip, self.serve)
        self.address = self.server.address
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self):
        """Writes the entry. A heartbeat without news leaves the row as it is."""
        entry = {
            "service": self.service, "address": self.address, "zone": "z1",
            "version": "1.0", "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "sequence": self.orders, "born": self.born,
            "models": [{"name": MODEL, "version": self.version,
                        "adapters": []}]}
        if entry != self.written:
            self.written = entry
            self.store.put("servers", self.id, entry)

    def beat(self):
        while True:
            if self.listed:
                self.register()
            time.sleep(HEARTBEAT_S)

    def exit(self):
        """Ends at once, with all that it runs."""
        self.listed = False
        self.server.stop_listening()
        for connection in list(self.server.open):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                  struct.pack("ii", 1, 0))
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def crash(self, down_s):
        """Ends, and starts again on the same address with a new id."""
        self.exit()
        threading.Timer(down_s, self.start_again).start()

    def start_again(self):
        former, ip, port = self.id, *self.address.split(":")
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.orders = self.running = 0
        self.cache.clear()
        self.server = web.Server(ip, self.serve, int(port))
        self.listed = True
        self.register()
        self.store.put("servers", former, None)
        self.record(f"runner {self.id} starts, {former} had crashed")

    def unlist(self):
        self.listed = False
        self.store.put("servers", self.id, None)

    def serve(self, request):
        path = urllib.parse.urlsplit(request.target).path
        if path == "/report":
            return self.report()
        if path == "/order":
            return self.follow_order(request)
        if path == "/health":
            return web.Response(200, headers=[("Instance-Id", self.id)])
        return self.run(request)

    def report(self):
        return web.Response(200, json.dumps({
            "stage": "prefill_decode", "busy": False, "born": self.born,
            "sequence": self.orders, "queued": self.queued, "running": self.running,
            "kvUsed": 100, "kvTotal": 60000, "handles": 0, "runs": [],
            "state": self.state,
            "models": [{"name": MODEL, "version": self.version,
                        "adapters": []}]}).encode(),
            [("Content-Type", "application/json")])

    def follow_order(self, request):
        order = json.loads(request.body)
        with self.lock:
            if order.get("expected", self.orders) != self.orders:
                return web.Response(409)
            if order["version"] == self.version:
                return web.Response(200)
            self.orders += 1
            self.version = order["version"]
            self.cache.clear()
        return web.Response(202)

    def head(self, request):
        headers = [("Request-Id", request.header("Request-Id")),
                   ("Instance-Id", self.id),
                   ("Weight-Versions", str(self.version))]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def refuse(self, request, status, why):
        self.record(f"runner {self.id} refused {request.header('Request-Id')}"
                    f" {status} {why}")
        return web.Response(
            status, headers=self.head(request) + [("Not-Executed", "1")])

    def run(self, request):
        if not request.header("Request-Id"):
            return self.refuse(request, 400, "no id")
        if request.header("Expect-Instance", self.id) != self.id:
            return self.refuse(request, 421, "other instance")
        if request.header("Expect-Version", str(self.version)) != str(
                self.version):
            return self.refuse(request, 421, "other weights")
        wait_s = float(request.header("Deadline-Ms", "30000")) / 1000
        with self.lock:
            full = self.running >= self.slots
            if full and self.queued < self.queue:
                self.queued += 1
                full = not self.slot_free.wait_for(
                    lambda: self.running < self.slots, wait_s)
                self.queued -= 1
            if not full:
                self.running += 1
                self.started += 1
        if full:
            return self.refuse(request, 503, "full")
        self.record(f"runner {self.id} ran {request.header('Request-Id')} "
                    f"tenant {request.header('Tenant') or '-'}")
        self.began(request)
        headers = self.head(request) + [("Server-Stamp", "s." + self.id)]
        if request.header("Model"):
            time.sleep(self.prefill_s)
            headers.append(("Content-Type", "text/event-stream"))
            return web.Response(200, headers=headers,
                                parts=self.stream(request))
        time.sleep(self.work_s)
        self.ended()
        return web.Response(200, b"done " + request.header(
            "Request-Id").encode(), headers)

    def ended(self):
        with self.lock:
            self.running = max(0, self.running - 1)
            self.slot_free.notify()

    def began(self, request):
        """Called as a request begins to run."""

    def stream(self, request):
        try:
            first = int(request.header("Last-Event-Id", "0")) + 1
            for number in range(first, self.events + 1):
                time.sleep(self.event_pause_s)
                while (left := self.silent_until - time.monotonic()) > 0:
                    time.sleep(left)
                yield f"id: {number}\ndata: piece {number}\n\n".encode()
        finally:
            self.ended()

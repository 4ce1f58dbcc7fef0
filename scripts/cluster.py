"""Raises a small deployment on loopback: stand-ins, sidecars and entries as
real processes. Used by the demonstration, the integration tests and the
measurements."""

import errno
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(
    os.environ.get("WAGTAIL_BIN", ROOT / "build" / "release" / "bin"))
KEY = "demonstration-process-key-1"
HEARTBEAT_MS = 250
MODEL = "entitlement-reader"
SERVICE = "coupon-ledger"
START_TIMEOUT_S = 30


def sha256_hex(text):
    import hashlib
    return hashlib.sha256(text.encode()).hexdigest()


def answer_text(prompt_messages, tokens, first=0):
    """The answer that the engine stand-in gives to a prompt."""
    prompt = "".join(
        f"{m['role']}\n{m['content']}\n" for m in prompt_messages)
    seed = sha256_hex(prompt)
    return "".join(
        sha256_hex(f"{seed}:{i}")[:5] + " " for i in range(first, tokens))


# Below the range from which the kernel takes ports of its own choice, so that no
# other process gets such a port while its user is down.
FIRST_PORT, LAST_PORT = 12_000, 32_000
# The reservations that this process holds until it ends.
held_reservations = []


def reserve_port(port):
    """Returns whether the port was reserved for this process. Its user may not
    have bound it yet, or may be restarting."""
    reservation = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        # An abstract name, which like a port belongs to the network namespace.
        # It does not depend on a folder for temporary files, and cannot be
        # removed while it is held.
        reservation.bind(f"\0wagtail-test-port-{port}")
    except OSError as error:
        reservation.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    held_reservations.append(reservation)
    return True


def free_ports(count):
    """Returns runs of two free ports, a data port and the control port. No other
    process that takes its ports here gets them until this process ends."""
    ports, probes = [], []
    while len(ports) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT, 2)
        if not reserve_port(port):
            continue
        try:
            for number in (port, port + 1):
                # Gateways and agents receive datagrams at one of their ports.
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probes.append(socket.socket(type=kind))
                    # Includes what is bound to other addresses of the machine.
                    probes[-1].bind(("0.0.0.0", number))
            ports.append(port)
        except OSError:
            pass
    for each in probes:
        each.close()
    return ports


def free_port():
    return free_ports(1)[0]


class Process:
    """One process that this object started and ends by its id."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, cwd=ROOT)

    def running(self):
        return self.child.poll() is None

    def describe(self):
        """Returns the state of the process and the end of its log."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join([f"{self.name}: exit code {self.child.poll()}",
                          *lines[-10:]])

    def kill(self):
        if self.running():
            self.child.kill()
        self.child.wait()

    def stop(self, timeout_s=30):
        """Ends it by SIGTERM; returns its exit code."""
        if self.running():
            self.child.terminate()
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)


def call(address, method, path, body=None, headers=None, timeout_s=30):
    """Sends a request; returns status, headers and text."""
    host, port = address.rsplit(":", 1)
    link = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        link.request(method, path, body, headers or {})
        answer = link.getresponse()
        return answer.status, dict(answer.getheaders()), \
            answer.read().decode("utf-8", "replace")
    finally:
        link.close()


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(what)


class Cluster:
    """A deployment of engines, services, sidecars and entries."""

    def __init__(self, engines=1, services=1, entries=1, *, stores=0,
                 engine_flags=(), service_flags=(), workspaces=("ward-1", "ward-2"),
                 proxied=False, seed=1):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtail-"))
        self.processes = {}
        self.workspaces = list(workspaces)
        self.upstreams = []
        self.entry_addresses, self.admin_addresses = [], []
        # With proxies, entries reach each sidecar through one of its own.
        self.proxied, self.seed = proxied, seed
        (self.folder / "process.key").write_text(KEY + "\n")
        self._start_platform()
        for i in range(engines):
            self._plan_upstream(f"engine-{i + 1}", "engine", engine_flags)
        for i in range(services):
            self._plan_upstream(f"ledger-{i + 1}", "service", service_flags)
        for i in range(stores):
            self._plan_upstream(f"store-{i + 1}", "store", ())
        self._write_configuration()
        for spec in self.upstreams:
            self._start_upstream(spec)
        for i in range(entries):
            self._start_entry(f"entry-{i + 1}")

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    @staticmethod
    def key_of(workspace):
        return f"key-of-{workspace}"

    def _run(self, name, *command):
        self.processes[name] = Process(name, command, self.folder)

    def _settings(self, name, values):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(values, indent=2))
        return path

    def _start_platform(self):
        port = free_port()
        self.platform = f"127.0.0.1:{port}"
        self._run("platform", BIN / "platform_stand_in",
                  f"--listen={self.platform}")

    def _plan_upstream(self, name, kind, flags):
        data, upstream, admin = free_ports(3)
        spec = {"id": name, "kind": kind, "data": f"127.0.0.1:{data}",
                "upstream": f"127.0.0.1:{upstream}",
                "admin": f"127.0.0.1:{admin}", "flags": list(flags)}
        if self.proxied:
            data, control = free_ports(2)
            spec["proxy"] = f"127.0.0.1:{data}"
            spec["proxy_control"] = f"127.0.0.1:{control}"
        self.upstreams.append(spec)

    def _start_upstream(self, spec):
        name, kind = spec["id"], spec["kind"]
        if kind != "store":
            self._run(name, BIN / f"{kind}_stand_in",
                      f"--listen={spec['upstream']}", *spec["flags"])
        path = self._settings(f"sidecar-{name}", {
            "upstream": name, "role": kind, "vm": f"vm-{name}",
            "data_centre": "ayyanthole", "listen": spec["data"],
            "admin_listen": spec["admin"],
            "upstream_address": spec["upstream"], "platform": self.platform,
            "process_key_file": str(self.folder / "process.key"),
            "configuration_file": str(self.configuration_file)})
        self._run(f"sidecar-{name}", BIN / "wagtail-sidecar",
                  f"--settings={path}")
        if self.proxied:
            self._start_proxy(name, spec)

    def _start_proxy(self, name, spec):
        self._run(f"proxy-{name}", BIN / "fault_proxy",
                  f"--listen={spec['proxy_control']}",
                  f"--data={spec['proxy']}", f"--target={spec['data']}",
                  f"--seed={self.seed + self.upstreams.index(spec)}")

    def set_faults(self, **rates):
        """Sets the fault rates of all proxies; returns the counts so far."""
        total = {}
        for spec in self.upstreams:
            _, _, text = call(spec["proxy_control"], "POST", "/", rates)
            for fault, count in json.loads(text).items():
                total[fault] = total.get(fault, 0) + count
        return total

    def configuration(self):
        return {
            "format": 1, "deployment": "demonstration",
            "data_centres": ["ayyanthole"],
            "workspaces": [{
                "id": w, "caller_keys": [sha256_hex(self.key_of(w))],
                "share": 1 / len(self.workspaces),
                "objective": {"first_token": 0.8, "recomputed_share": 0.2},
                "models": [MODEL], "services": [SERVICE],
            } for w in self.workspaces],
            "models": [{"id": MODEL, "version": 1,
                        "cache_piece_tokens": 1024, "adapters": []}],
            "services": [{"id": SERVICE, "requests": [
                {"name": "balance", "idempotent": True},
                {"name": "issue", "idempotent": False}]}],
            "upstreams": [{
                "id": u["id"], "kind": u["kind"], "data_centre": "ayyanthole",
                "sidecar": u.get("proxy", u["data"]),
                "checks_fencing": False,
                "models": [MODEL] if u["kind"] == "engine" else [],
                "service": SERVICE if u["kind"] == "service" else "",
                "cell": 0} for u in self.upstreams],
            "process_keys": {"sign_with": "process-1",
                             "accept": ["process-1"]},
            "spread": {"poll_interval_ms": 1000},
            "membership": {"heartbeat_interval_ms": HEARTBEAT_MS,
                           "silent_heartbeats": 4, "cells": 1},
            "lease": {"length_ms": 10000, "renew_interval_ms": 3000,
                      "margin_ms": 2000}}

    def _write_configuration(self):
        self.configuration_file = self._settings(
            "configuration", self.configuration())

    def _start_entry(self, name):
        caller, admin, control = free_ports(3)
        self.entry_addresses.append(f"127.0.0.1:{caller}")
        self.admin_addresses.append(f"127.0.0.1:{admin}")
        path = self._settings(name, {
            "entry": name, "vm": f"vm-{name}", "data_centre": "ayyanthole",
            "caller_listen": f"127.0.0.1:{caller}",
            "admin_listen": f"127.0.0.1:{admin}",
            "control_listen": f"127.0.0.1:{control}",
            "platform": self.platform,
            "process_key_file": str(self.folder / "process.key"),
            "configuration_file": str(self.configuration_file)})
        self._run(name, BIN / "wagtail-entry", f"--settings={path}")

    def wait_ready(self):
        """Waits until every entry has heard of every upstream."""
        for address in self.admin_addresses:
            wait_until(lambda: self._sees_all(address), f"{address} ready")

    def _sees_all(self, address):
        try:
            status, _, text = call(address, "GET", "/status")
        except OSError:
            return False
        seen = json.loads(text)["upstreams"] if status == 200 else []
        return len(seen) == len(self.upstreams) and \
            all(u["heard"] and u["ready"] for u in seen)

    def chat(self, entry, workspace, messages, max_tokens=16, headers=None,
             stream=True, timeout_s=30):
        """Sends a chat completion; returns a dictionary of what came."""
        host, port = self.entry_addresses[entry].rsplit(":", 1)
        link = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        body = json.dumps({"model": MODEL, "stream": stream,
                           "max_tokens": max_tokens, "messages": messages})
        began = time.monotonic()
        try:
            link.request("POST", "/v1/chat/completions", body, {
                "Authorization": f"Bearer {self.key_of(workspace)}",
                **(headers or {})})
            answer = link.getresponse()
            if answer.status != 200 or not stream:
                return {"status": answer.status, "text": "", "done": False,
                        "error": json.loads(answer.read() or b"{}"),
                        "headers": dict(answer.getheaders())}
            return read_events(answer, began)
        finally:
            link.close()

    def call_service(self, entry, workspace, operation, body, key=None,
                     headers=None, timeout_s=30):
        extra = {"Idempotency-Key": key} if key else {}
        return call(
            self.entry_addresses[entry], "POST",
            f"/v1/services/{SERVICE}/{operation}", body,
            {"Authorization": f"Bearer {self.key_of(workspace)}", **extra,
             **(headers or {})}, timeout_s)

    def describe(self):
        """Returns the state of all processes and what each entry knows of the
        upstreams."""
        parts = [process.describe() for process in self.processes.values()]
        for address in self.admin_addresses:
            try:
                parts.append(call(address, "GET", "/status")[2])
            except OSError as error:
                parts.append(f"{address}: {error}")
        return "\n".join(parts)

    def metric(self, admin_address, name):
        """Adds up the values of a metric over its labels."""
        _, _, text = call(admin_address, "GET", "/metrics")
        return sum(float(line.rsplit(" ", 1)[1])
                   for line in text.splitlines()
                   if line.split("{")[0].split(" ")[0] == name)

    def close(self):
        for process in self.processes.values():
            if process.running():
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def read_events(answer, began):
    """Reads server-sent events to their end."""
    got = {"status": 200, "text": "", "done": False, "error": None,
           "first_token_ms": None, "usage": None, "events": 0,
           "request": answer.getheader("X-Request-Id")}
    error = False
    try:
        for raw in answer:
            line = raw.decode("utf-8", "replace").rstrip("\n")
            if line == "event: error":
                error = True
            elif line == "data: [DONE]":
                got["done"] = True
            elif line.startswith("data: "):
                take_event(got, json.loads(line[6:]), error, began)
    except (http.client.IncompleteRead, ConnectionError):
        got["broken"] = True
    return got


def take_event(got, event, error, began):
    if error:
        got["error"] = event["error"]
        return
    got["usage"] = event.get("usage", got["usage"])
    content = event["choices"][0]["delta"].get("content")
    if content:
        if got["first_token_ms"] is None:
            got["first_token_ms"] = (time.monotonic() - began) * 1000
        got["text"] += content
        got["events"] += 1

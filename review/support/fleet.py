"""Starts the programs of the deploy file as machines on loopback addresses."""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMaxMs": 5000,
    "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 112, "recoverS": 12,
    "transitMs": 120, "reuseWindowS": 20, "requireFencing": False,
    "leaseMs": 3000, "thawSlackMs": 300, "versionMs": 8000,
    "versionAllMs": 11000}
READY_S = 20
MAX_RUN_S = 110


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Addresses:
    """Loopback addresses, one for each machine, that no other run has."""

    def __init__(self):
        self.net = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self.last = 0

    def next(self):
        self.last += 1
        return f"{self.net}.{self.last}"


class Machine:
    """A machine with one program of the deploy file."""

    def __init__(self, folder, name, role, ip, settings):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"][role]["run"].split(" ")
        self.name, self.ip = name, ip
        self.file = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        ports = random.randint(20002, 30000)
        # JSON is valid YAML.
        self.file.write_text(json.dumps({
            "nodeName": name, "role": role, "ip": ip, "zone": "z1",
            "region": "r1", "zones": {"z1": "r1"},
            "internalPorts": [ports, ports + 15], "seeds": [],
            "firstStart": True, "lossCounts": False,
            "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": 192,
                       "maxFds": 2870, "linkMbps": 700.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": 1200, "bounds": BOUNDS} | settings))
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "WAGTAILSEAM_NODE_FILE": str(self.file)})

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Fleet:
    """A small deployment: one store, gateways, and agents beside runners."""

    def __init__(self, case_folder, store_class, configuration):
        self.record = Record(case_folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.addresses = Addresses()
        self.store = store_class(self.addresses.next())
        self.machines, self.gateways = [], []
        self.name_configuration(configuration)

    def name_configuration(self, configuration):
        self.store.put("op", "config", configuration)
        self.record(f"operator confirmed configuration "
                    f"{configuration['version']}: " + json.dumps(
                        configuration["tenants"]))

    def platform(self, address=None):
        return {"address": address or self.store.address, "form": "table",
                "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0,
                "partWritesS": 200, "rowBytes": 65536, "across": False,
                "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0,
                "blobMbS": 80.0}

    def add_gateway(self, store_address=None):
        ip = self.addresses.next()
        # Below the range from which the kernel takes ports. The address is
        # this machine's own.
        port = random.randint(12000, 20000)
        listen = {"front": f"{ip}:{port}", "ready": f"{ip}:{port + 1}"}
        gateway = Machine(
            self.folder, f"front-{len(self.gateways)}", "gateway", ip,
            {"machineClass": "front", "serves": ["front"], "listen": listen,
             "platform": self.platform(store_address)})
        gateway.front, gateway.readiness = listen["front"], listen["ready"]
        self.gateways.append(gateway)
        self.machines.append(gateway)
        return gateway

    def add_agent(self, runner):
        self.machines.append(Machine(
            self.folder, f"side-{len(self.machines)}", "agent",
            runner.address.split(":")[0],
            {"machineClass": "side", "serves": ["side"], "listen": {},
             "app": runner.address, "service": runner.service,
             "platform": self.platform()}))

    def start(self):
        for machine in self.machines:
            machine.start()
        deadline = time.monotonic() + READY_S
        while not all(is_ready(gateway) for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise CannotRun("the gateways are not ready")
            time.sleep(0.1)
        self.record("all gateways are ready")

    def check_alive(self):
        for machine in self.machines:
            if machine.child.poll() is not None:
                self.record(f"{machine.name} ended by itself")

    def close(self):
        for machine in self.machines:
            machine.end()
        # For a reader who wants the logs of the programs.
        if folder := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, folder, dirs_exist_ok=True)
        self.temporary.cleanup()


def is_ready(gateway):
    try:
        connection = http.client.HTTPConnection(gateway.readiness, timeout=1)
        connection.request("GET", "/readiness")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case):
    """Runs a function that returns whether the rule was broken. An error of a
    stand-in, the end of the time or a signal to stop is no result."""
    errors = []

    def give_up(number, _):
        raise CannotRun(f"signal {number}")

    threading.excepthook = lambda arguments: errors.append(
        repr(arguments.exc_value))
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(MAX_RUN_S)
    try:
        broken = case()
    except (CannotRun, OSError) as error:
        errors.append(str(error))
    if errors:
        print(f"the case could not run: {errors[0]}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)

"""Accepted configurations in force everywhere: wagtailctl against real
processes, with restarts and an outage of the platform. A checker reads every
process's number throughout."""

import json
import os
import pathlib
import subprocess
import tempfile
import threading
import time
import unittest

import cluster

ENTRIES = 6
SIDECARS = 24
ACCEPTANCES = int(os.environ.get("WAGTAIL_ACCEPTANCES", "20"))
IN_FORCE_TIMEOUT_S = 60


class Fleet:
    """Entries and sidecars without upstreams, which the spread needs not."""

    def __init__(self, entries, sidecars):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtail-config-"))
        (self.folder / "process.key").write_text(cluster.KEY + "\n")
        [port] = cluster.free_ports(1)
        self.platform = f"127.0.0.1:{port}"
        self.processes, self.admins, self.data = {}, {}, {}
        self.run("platform", "platform_stand_in", f"--listen={self.platform}")
        cluster.wait_until(self.platform_answers, "the platform")
        controls = [f"127.0.0.1:{p}" for p in cluster.free_ports(entries)]
        self.changes = 0
        for i in range(entries):
            # Mutual: each entry keeps what its neighbours have in force.
            near = {(i - 1) % entries, (i + 1) % entries} - {i}
            self.start_entry(f"entry-{i}", controls[i],
                             [controls[n] for n in sorted(near)])
        for i in range(sidecars):
            peers = [controls[i % entries], controls[(i + 1) % entries]]
            self.start_sidecar(f"sidecar-{i}", sorted(set(peers)))

    def run(self, name, program, *flags):
        self.processes[name] = cluster.Process(
            name, [cluster.BIN / program, *flags], self.folder)

    def settings(self, name, values):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({
            "vm": f"vm-{name}", "data_centre": "ayyanthole",
            "platform": self.platform,
            "process_key_file": str(self.folder / "process.key"), **values}))
        return f"--settings={path}"

    def start_entry(self, name, control, peers):
        caller, admin = cluster.free_ports(2)
        self.admins[name] = f"127.0.0.1:{admin}"
        self.run(name, "wagtail-entry", self.settings(name, {
            "entry": name, "caller_listen": f"127.0.0.1:{caller}",
            "admin_listen": f"127.0.0.1:{admin}", "control_listen": control,
            "configuration_peers": peers}))

    def start_sidecar(self, name, peers):
        data, admin, upstream = cluster.free_ports(3)
        self.admins[name] = f"127.0.0.1:{admin}"
        self.data[name] = f"127.0.0.1:{data}"
        self.run(name, "wagtail-sidecar", self.settings(name, {
            "upstream": name, "role": "engine", "listen": self.data[name],
            "admin_listen": f"127.0.0.1:{admin}",
            "upstream_address": f"127.0.0.1:{upstream}",
            "configuration_peers": peers}))

    def restart(self, name):
        self.processes[name].kill()
        self.processes[name].start()

    def faults(self, **wanted):
        cluster.call(self.platform, "POST", "/control/faults", wanted)

    def platform_answers(self):
        try:
            return cluster.call(
                self.platform, "GET", "/control/counts")[0] == 200
        except OSError:
            return False

    def ctl(self, *arguments):
        done = subprocess.run(
            [str(cluster.BIN / "wagtailctl"), f"--platform={self.platform}",
             "--json", "--yes", *arguments],
            capture_output=True, text=True, timeout=60, cwd=cluster.ROOT)
        return done.returncode, done.stdout

    def configuration(self, share):
        answers = {
            "deployment": "test", "data_centres": ["ayyanthole"],
            "entries": ENTRIES,
            "objective": {"first_token": 0.8, "recomputed_share": 0.2},
            "process_keys": {"sign_with": "p1", "accept": ["p1"]},
            "workspaces": [{
                "id": "ward", "share": share, "models": ["m"],
                "caller_keys": [cluster.sha256_hex("ward-key")]}],
            "models": [{"id": "m", "version": 1}],
            "upstreams": [{
                "id": name, "kind": "engine", "data_centre": "ayyanthole",
                "sidecar": address, "checks_fencing": False, "models": ["m"]}
                for name, address in self.data.items()]}
        questionnaire = self.folder / "questionnaire.json"
        questionnaire.write_text(json.dumps(answers))
        code, text = self.ctl("generate", str(questionnaire))
        assert code == 0, text
        path = self.folder / "configuration.json"
        path.write_text(text)
        return path

    def accept(self, *flags):
        self.changes += 1
        share = 0.1 + 0.0001 * self.changes
        return self.ctl(*flags, "accept", str(self.configuration(share)))

    def number(self, name):
        """The number in force; None while it is away or not ready."""
        try:
            status, _, text = cluster.call(
                self.admins[name], "GET", "/status", timeout_s=1)
        except OSError:
            return None
        read = json.loads(text) if status == 200 else {}
        return read.get("config_number") if read.get("config_ready") else None

    def start_again(self):
        """Starts processes whose port was taken by another connection."""
        for name, process in self.processes.items():
            if process.child.poll() == 1:
                process.start()

    def all_have(self, number):
        self.start_again()
        return all(self.number(name) == number for name in self.admins)

    def close(self):
        for process in self.processes.values():
            process.kill()


class Checker(threading.Thread):
    """Reads every process's number until stopped; keeps the reversions."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.ended = fleet, threading.Event()
        self.highest, self.reversions, self.reads = {}, [], 0

    def run(self):
        while not self.ended.is_set():
            for name in self.fleet.admins:
                number = self.fleet.number(name)
                if number is None:
                    continue
                self.reads += 1
                if number < self.highest.get(name, 0):
                    self.reversions.append((name, self.highest[name], number))
                self.highest[name] = max(number, self.highest.get(name, 0))


class ConfigurationTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(ENTRIES, SIDECARS)
        cls.addClassCleanup(cls.fleet.close)

    def in_force(self, number, what):
        began = time.monotonic()
        try:
            cluster.wait_until(lambda: self.fleet.all_have(number), what,
                               IN_FORCE_TIMEOUT_S)
        except TimeoutError:
            self.fail(f"{what}: number {number} is not in force at " + str(
                {name: (self.fleet.number(name),
                        self.fleet.processes[name].running())
                 for name in self.fleet.admins
                 if self.fleet.number(name) != number}))
        return time.monotonic() - began

    def accepted(self):
        code, text = self.fleet.accept()
        self.assertEqual(code, 0, text)
        return json.loads(text)["number"]

    def test_accepted_numbers_hold_everywhere_and_never_go_down(self):
        fleet = self.fleet
        first = self.accepted()
        self.in_force(first, "the first acceptance")
        checker = Checker(fleet)
        checker.start()
        times = []
        for _ in range(ACCEPTANCES):
            times.append(self.in_force(self.accepted(), "an acceptance"))
        number = self.accepted()
        self.in_force(number, "the acceptance before the outage")
        fleet.faults(down=True)
        for name in ("entry-0", "sidecar-3", "entry-3"):
            fleet.restart(name)
            self.in_force(number, f"{name} started during the outage")
        fleet.faults(down=False)
        last = self.accepted()
        self.in_force(last, "the acceptance after the outage")
        checker.ended.set()
        checker.join(30)
        self.assertEqual(checker.reversions, [])
        self.assertGreater(checker.reads, 100)
        times.sort()
        print(f"\nin force at {len(fleet.admins)} processes over {len(times)} "
              f"acceptances: median {times[len(times) // 2]:.2f} s, "
              f"longest {times[-1]:.2f} s; {checker.reads} numbers read")

    def test_operator_who_read_an_older_number_loses_the_race(self):
        number = self.accepted()
        self.assertEqual(self.accepted(), number + 1)
        code, text = self.fleet.accept(f"--base={number}")
        self.assertEqual(code, 4, text)

    def test_rollback_is_a_new_higher_number(self):
        old = self.accepted()
        new = self.accepted()
        code, text = self.fleet.ctl("rollback", str(old))
        self.assertEqual(code, 0, text)
        row = json.loads(text)
        self.assertEqual((row["number"], row["restores"]), (new + 1, old))

    def test_acceptance_with_lost_answers_is_found_by_its_nonce(self):
        self.fleet.faults(lose_answer=1.0)
        try:
            code, text = self.fleet.accept()
        finally:
            self.fleet.faults()
        self.assertEqual(code, 0, text)
        _, history = self.fleet.ctl("history")
        newest = json.loads(history)["history"][-1]
        self.assertEqual(newest["nonce"], json.loads(text)["nonce"])

    def test_status_names_who_lags(self):
        number = self.accepted()
        self.in_force(number, "the acceptance")
        addresses = ",".join(self.fleet.admins.values())
        code, text = self.fleet.ctl("status", f"--processes={addresses}")
        self.assertEqual(code, 0, text)
        code, text = self.fleet.ctl("status", "--processes=127.0.0.1:1")
        self.assertEqual(code, 7, text)


if __name__ == "__main__":
    unittest.main()

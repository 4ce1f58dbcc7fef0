"""Kept cache through real processes: a returning prompt's pieces come back
from the store, and a faulty or lost store costs recompute, nothing else."""

import json
import socket
import threading
import time
import unittest

import cluster

PIECES = 5
PIECE_TOKENS = 1024


class FaultyLink:
    """Passes TCP both ways; spoils long answers when told to."""

    LONG = 4096

    def __init__(self, listen_port, target_port):
        self.target_port = target_port
        self.fault = None
        self.listener = socket.create_server(("127.0.0.1", listen_port))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(
                    ("127.0.0.1", self.target_port))
            except OSError:
                client.close()
                continue
            for source, sink, answers in ((client, server, False),
                                          (server, client, True)):
                threading.Thread(target=self._pass, daemon=True,
                                 args=(source, sink, answers)).start()

    def _pass(self, source, sink, answers):
        try:
            while data := source.recv(65536):
                if answers and len(data) >= self.LONG and self.fault:
                    data = self._spoil(data, sink)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def _spoil(self, data, sink):
        if self.fault == "corrupt":
            return data[:-1] + bytes([data[-1] ^ 1])
        if self.fault == "truncate":
            sink.sendall(data[:len(data) // 2])
            raise OSError
        time.sleep(3)
        return data


class CacheCluster(cluster.Cluster):
    """A deployment whose store is reached through a faulty link."""

    def _plan_upstream(self, name, kind, flags):
        super()._plan_upstream(name, kind, flags)
        if kind == "store":
            spec = self.upstreams[-1]
            [port] = cluster.free_ports(1)
            real = int(spec["data"].rsplit(":", 1)[1])
            self.link = FaultyLink(port, real)
            FaultyLink(port + 1, real + 1)
            spec["proxy"] = f"127.0.0.1:{port}"


def messages_of(name):
    text = "".join(f"{name} line {i:06d} of the file. " for i in range(4000))
    return [{"role": "user", "content": text[:PIECES * 4096 + 100]}]


class KeptCacheTest(unittest.TestCase):
    def setUp(self):
        self.fleet = CacheCluster(
            engines=1, services=0, entries=1, stores=1)
        self.addCleanup(self.fleet.close)
        self.fleet.wait_ready()
        self.engine, self.store = self.fleet.upstreams

    def ask(self, messages, workspace="ward-1"):
        got = self.fleet.chat(0, workspace, messages, max_tokens=8)
        self.assertTrue(got["done"], got)
        self.assertEqual(got["text"], cluster.answer_text(messages, 8))
        return got["usage"]["prompt_tokens_details"]["imported_tokens"]

    def kept_blocks(self):
        _, _, text = cluster.call(self.store["admin"], "GET", "/status")
        return json.loads(text)["kept_blocks"]

    def keep(self, messages):
        before = self.kept_blocks()
        self.ask(messages)
        cluster.wait_until(
            lambda: self.kept_blocks() == before + PIECES, "exported")
        self.evict()

    def evict(self):
        cluster.call(self.engine["upstream"], "POST", "/control/clear-cache")

    def imports_ended(self, reason):
        _, _, text = cluster.call(self.engine["admin"], "GET", "/metrics")
        wanted = f'wagtail_imports_total{{reason="{reason}"}}'
        return sum(float(line.rsplit(" ", 1)[1])
                   for line in text.splitlines() if line.startswith(wanted))

    def check_sound(self):
        _, _, text = cluster.call(
            self.engine["upstream"], "GET", "/control/counts")
        self.assertEqual(json.loads(text)["unsound"], 0)

    def test_returning_prompt_after_eviction_is_imported(self):
        messages = messages_of("returning")
        self.keep(messages)
        self.assertEqual(self.ask(messages), PIECES * PIECE_TOKENS)
        self.assertEqual(self.imports_ended("ok"), 1)
        self.check_sound()

    def test_same_prompt_of_other_workspace_is_not_imported(self):
        messages = messages_of("shared")
        self.keep(messages)
        self.assertEqual(self.ask(messages, "ward-2"), 0)

    def check_fault(self, fault, reason):
        messages = messages_of(fault)
        self.keep(messages)
        self.fleet.link.fault = fault
        imported = self.ask(messages)
        self.assertLess(imported, PIECES * PIECE_TOKENS)
        self.assertGreater(self.imports_ended(reason), 0)
        self.check_sound()

    def test_corrupt_block_costs_recompute_and_is_counted(self):
        self.check_fault("corrupt", "block_digest_mismatch")

    def test_truncated_block_costs_recompute_and_is_counted(self):
        self.check_fault("truncate", "store_lost")

    def test_late_block_costs_recompute_and_is_counted(self):
        self.check_fault("late", "import_abandoned")

    def test_killed_store_costs_recompute_only(self):
        messages = messages_of("killed")
        self.keep(messages)
        self.fleet.processes["sidecar-store-1"].kill()
        self.assertEqual(self.ask(messages), 0)
        self.assertGreater(self.imports_ended("store_lost"), 0)
        self.evict()
        self.fleet.processes["sidecar-store-1"].start()
        cluster.wait_until(self.store_answers, "store again")
        self.assertEqual(self.ask(messages), 0)
        cluster.wait_until(
            lambda: self.kept_blocks() == PIECES, "exported again")

    def completions(self):
        _, _, text = cluster.call(
            self.engine["upstream"], "GET", "/control/counts")
        return json.loads(text)["completions"]

    def test_swap_while_pieces_come_is_refused_as_not_run(self):
        messages = messages_of("swapped")
        self.keep(messages)
        before = self.completions()
        self.fleet.link.fault = "late"
        swap = threading.Timer(0.3, cluster.call, (
            self.engine["upstream"], "POST", "/control/next-version"))
        swap.start()
        got = self.fleet.chat(0, "ward-1", messages, max_tokens=8)
        swap.join()
        self.assertFalse(got["done"])
        self.assertIn("not_run", json.dumps(got["error"]))
        self.assertEqual(self.completions(), before)

    def store_answers(self):
        try:
            return self.kept_blocks() == 0
        except OSError:
            return False


if __name__ == "__main__":
    unittest.main()

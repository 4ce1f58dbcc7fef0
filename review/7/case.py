"""New weights of one model are named while callers use another model of the same
runners, whose name begins with that of the first one and a dot."""

import collections
import json
import pathlib
import random
import sys
import threading
import urllib.parse

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from harness import (CannotRun, Caller, Deployment, Runner, Server,  # noqa
                     TROUBLE, encode_request, encode_response, lookup, main,
                     route, time)

UPDATED_MODEL, USED_MODEL = "reader-1", "reader-1.5"
ENGINES = 2
CALLERS = 4
# Shared parts of the prompts, more than an engine keeps itself.
PARTS = 40
PART_TOKENS = 5000
ENGINE_PARTS = 10
FETCH_S = 0.04
READ_S = 0.05
EVENTS = 6
# Time after the new weights are named; agents free their old parts meanwhile.
OBSERVED_S = 16


def clock_ms():
    return int(time.monotonic() * 1000)


class KeptParts(Server):
    """A managed store of kept parts, which frees nothing by itself."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.held = {}
        self.events = []
        # Times at which parts were freed.
        self.freed = collections.defaultdict(list)
        self.changed = threading.Condition()
        super().__init__()

    def keep(self, part, model):
        with self.changed:
            if part not in self.held:
                self.held[part] = model
                self.add_event("+", part, PART_TOKENS)

    def free(self, part):
        with self.changed:
            if part in self.held:
                self.add_event("-", part, 0)
                del self.held[part]
                self.freed[part].append(time.monotonic())

    def add_event(self, sign, part, tokens):
        self.events.append([len(self.events) + 1, sign, *part, tokens,
                            self.held[part]])
        self.changed.notify_all()

    def converse(self, connection, reader):
        while True:
            line, headers = reader.head()
            body = reader.request_body(headers)
            url = urllib.parse.urlsplit(line.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(url.query))
            document = self.execute(url.path, query, headers, body)
            connection.sendall(encode_response(
                200, [("Content-Type", "application/json")],
                json.dumps(document).encode()))

    def execute(self, path, query, headers, body):
        common = {"bootEpoch": 7, "clock_ms": clock_ms()}
        if path == "/kv-events":
            since = int(query["since"])
            with self.changed:
                self.changed.wait_for(
                    lambda: len(self.events) > since,
                    int(lookup(headers, "Wait-Ms", 0)) / 1000)
                return common | {"next": len(self.events), "lost": False,
                                 "clock_ms": clock_ms(),
                                 "events": self.events[since:]}
        if path == "/kv-list":
            with self.changed:
                return common | {
                    "next": len(self.events), "incomplete": [],
                    "held": [[*part, PART_TOKENS, model]
                             for part, model in self.held.items()]}
        if path == "/kv-free":
            parts = [tuple(part) for part in json.loads(body)["parts"]]
            self.deployment.note(f"the store is told to free {len(parts)} "
                                 f"parts, such as {parts[:1]}")
            for part in parts:
                self.free(part)
        return common


class Engine(Runner):
    """Takes the parts of a prompt from its own memory or, if told so, from the
    store, and reads the others."""

    # Requests that used a part which was freed before its fetch had ended.
    spoiled = []
    fetches = 0

    def __init__(self, deployment, service, number):
        super().__init__(deployment, service, number)
        self.models = {UPDATED_MODEL: 1, USED_MODEL: 2}
        self.own = collections.OrderedDict()
        self.own_lock = threading.Lock()

    def answer(self, connection, method, target, headers, body):
        request = lookup(headers, "Request-Id", "")
        salt = lookup(headers, "Cache-Salt", "")
        model = lookup(headers, "Model")
        parts = [entry.split(":")[0] for entry in
                 lookup(headers, "Prompt-Prefix").split(",")]
        fetch = (lookup(headers, "Kv-Fetch") or "").split(",")
        save = (lookup(headers, "Kv-Save") or "").split(",")
        store = self.deployment.kept_parts
        for index, name in enumerate(parts[:-1]):
            part = (salt, name)
            if part in self.own:
                continue
            fetched = False
            if index < len(fetch) and fetch[index].startswith(store.address):
                fetched = self.fetch(request, part, headers)
            if not fetched:
                time.sleep(READ_S)
                if index < len(save) and save[index].startswith(store.address):
                    store.keep(part, model)
            with self.own_lock:
                self.own[part] = True
                while len(self.own) > ENGINE_PARTS:
                    self.own.popitem(last=False)
        self.stream(connection, request, model)

    def fetch(self, request, part, headers):
        """Returns whether the part came from the store in time."""
        store = self.deployment.kept_parts
        if part not in store.held:
            return False
        began = time.monotonic()
        time.sleep(FETCH_S)
        if clock_ms() > int(lookup(headers, "Kv-Until", 0)):
            return False
        Engine.fetches += 1
        if any(began < at < time.monotonic() for at in store.freed[part]):
            self.deployment.note(f"{request} uses {part}, which was freed "
                                 "before its fetch had ended")
            Engine.spoiled.append(request)
        return True

    def stream(self, connection, request, model):
        events = "".join(f"id: {number}\ndata: {request}\n\n"
                         for number in range(1, EVENTS + 1)).encode()
        connection.sendall(encode_response(
            200, self.proof(request) + [
                ("Content-Type", "text/event-stream"),
                ("Weight-Versions", str(self.models[model]))], events))


class Asker(threading.Thread):
    """Asks about the parts in random order."""

    def __init__(self, gateway, number, ended):
        super().__init__(daemon=True)
        self.gateway, self.number, self.ended = gateway, number, ended
        self.random = random.Random(number)
        self.served = 0

    def run(self):
        count = 0
        while not self.ended.is_set():
            count += 1
            part = self.random.randrange(PARTS)
            try:
                caller = Caller(self.gateway)
                caller.send(encode_request(
                    "POST", "/ask/x", f"a-{self.number}-{count}", headers=[
                        ("Model", USED_MODEL), ("Prompt-Prefix",
                         f"5c{part:04x}:{PART_TOKENS},ff{count:04x}:10"),
                        ("Token-Usage", f"{PART_TOKENS + 10},{EVENTS}")],
                    body=b"text"))
                self.served += caller.receive()[0] == 200
                caller.close()
            except (OSError, EOFError, ValueError):
                time.sleep(0.1)


def check(record):
    with Deployment([route("ask", "streaming", "engines", 2)], record,
                    services=("engines",)) as deployment:
        deployment.kept_parts = KeptParts(deployment)
        deployment.configuration["version"] += 2
        deployment.configuration["services"].append({
            "name": "kept", "kvStoreAddr": deployment.kept_parts.address,
            "zone": "z", "kvCapacityTokens": 1_948_676,
            "linkMbps": 250_000.0})
        deployment.store.put_json("op", "config", deployment.configuration)
        deployment.name_weights(UPDATED_MODEL, 1)
        deployment.name_weights(USED_MODEL, 2)
        engines = [deployment.add_runner(Engine, "engines", number)
                   for number in range(ENGINES)]
        gateway = deployment.add_gateway(1)
        for engine in engines:
            deployment.add_agent(engine)
        deployment.wait_ready(gateway)
        time.sleep(5)
        ended = threading.Event()
        askers = [Asker(gateway, number, ended) for number in range(CALLERS)]
        for asker in askers:
            asker.start()
        # The prompts of callers that return find their parts in the store.
        time.sleep(8)
        deployment.note(f"kept parts: {len(deployment.kept_parts.held)}, "
                        f"fetches: {Engine.fetches}")
        if Engine.fetches < 20:
            raise CannotRun("nothing is fetched from the store")
        if TROUBLE:
            deployment.name_weights(UPDATED_MODEL, 9)
        time.sleep(OBSERVED_S)
        ended.set()
        deployment.note(
            f"served: {sum(asker.served for asker in askers)}, fetches: "
            f"{Engine.fetches}, requests with a part that was freed before its "
            f"fetch had ended: {Engine.spoiled}")
        return not Engine.spoiled


main(check, FOLDER)

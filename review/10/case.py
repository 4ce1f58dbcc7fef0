"""A configuration gives a part of a route's paths to another service while
streams of these paths run. Their callers lose their channels, and resume the
streams later than configApplyMs after the confirmation."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from harness import (MODEL, CannotRun, Caller, Deployment, Runner,  # noqa
                     TROUBLE, encode_request, lookup, main, route, time)

STREAMS = 6
EVENTS = 60
EVENT_INTERVAL_S = 0.2
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
PATH = "/ask/deep/x"
PROMPT = [("Model", MODEL), ("Prompt-Prefix", "p1:100,q:10"),
          ("Token-Usage", f"110,{EVENTS}")]


class Engine(Runner):
    """Answers with a stream of numbered events."""

    def answer(self, connection, method, target, headers, body):
        request = lookup(headers, "Request-Id", "")
        first = int(lookup(headers, "Last-Event-Id", 0)) + 1
        fields = self.proof(request) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"), ("Weight-Versions", "1")]
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields) +
            "\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.id}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_INTERVAL_S)
        connection.sendall(b"0\r\n\r\n")


def stream_route(name, prefix, service):
    return route(name, "streaming", service, 2) | {
        "pathPrefix": prefix, "timeoutMs": 15000}


class Stream:
    """A caller of one stream."""

    def __init__(self, deployment, gateway, request, more=(), deadline_ms=15000):
        self.deployment, self.request = deployment, request
        self.caller = Caller(gateway)
        deployment.note(f"caller sends POST {PATH} {request} {list(more)}")
        self.sent_at = time.monotonic()
        self.caller.send(encode_request(
            "POST", PATH, request, headers=PROMPT + list(more), body=b"text",
            deadline_ms=deadline_ms))
        line, _ = self.caller.reader.head()
        self.status = int(line.split(" ")[1])
        deployment.note(f"{request} got {self.status}")

    def read_for(self, seconds):
        """Reads events for some time. Returns the id of the last one."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.caller.connection.settimeout(max(
                0.01, end - time.monotonic()))
            try:
                self.caller.reader.fill()
            except (TimeoutError, EOFError):
                break
        text = self.caller.reader.buffer.decode()
        ids = [int(line[4:]) for line in text.splitlines()
               if line.startswith("id: ")]
        return max(ids, default=0)

    def lose_channel(self):
        self.deployment.note(f"caller of {self.request} loses its channel")
        self.caller.close()


def check(record):
    with Deployment([stream_route("ask", "/ask/", "engines")], record,
                    services=("engines", "others")) as deployment:
        runners = [deployment.add_runner(Engine, service, number)
                   for service in ("engines", "others")
                   for number in range(2)]
        gateway = deployment.add_gateway(1)
        deployment.wait_ready(gateway)
        # The gateway writes the software version of each service.
        time.sleep(2)
        streams = [Stream(deployment, gateway, f"begun-{number}")
                   for number in range(STREAMS)]
        if any(stream.status != 200 for stream in streams):
            raise CannotRun("a stream did not begin")
        time.sleep(0.5)
        confirmed_at = time.monotonic()
        if TROUBLE:
            deployment.configuration["version"] += 4
            deployment.configuration["routes"].append(
                stream_route("deep", "/ask/deep/", "others"))
            deployment.store.put_json("op", "config",
                                      deployment.configuration)
            deployment.note("confirmed: /ask/deep/ belongs to others")
        time.sleep(0.5)
        positions = []
        for stream in streams:
            positions.append(stream.read_for(0.05))
            stream.lose_channel()
        # The gateway has been undisturbed for contactMs again.
        time.sleep(max(CONTACT_S, CONFIG_APPLY_S) + 0.3)
        fresh = Stream(deployment, gateway, "fresh", deadline_ms=2000)
        fresh.lose_channel()
        late = []
        for number, (stream, last) in enumerate(zip(streams, positions)):
            resumed = Stream(deployment, gateway, f"resumed-{number}", more=[
                ("Last-Event-Id", str(last)), ("Resumes", stream.request)],
                deadline_ms=9000)
            resumed.read_for(0.3)
            if resumed.sent_at > confirmed_at + CONFIG_APPLY_S:
                late.append(resumed.request)
        by_old_service = sorted(
            request for runner in runners if runner.service == "engines"
            for request in runner.runs if request in late + ["fresh"])
        deployment.note(f"run by engines later than {CONFIG_APPLY_S} s after "
                        f"the confirmation: {by_old_service}")
        # Without the change engines are the service of these paths.
        return not TROUBLE or not by_old_service


main(check, FOLDER)

"""A gateway is killed while it forwards streams of a split route."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

import fleet
import runner
import store

SERVICES = ("engines-a", "engines-b")
RUNNERS = 2
GATEWAYS = 3
# At the gateway that is killed.
STREAMS = 24
MIN_TAKEN_UP = 12
DEADLINE_S = 15
KEY = "key-north"


def configuration():
    return {
        "version": 10,
        "routes": [{
            "name": "ask", "host": "h.example", "pathPrefix": "/ask/",
            "kind": "streaming", "resumable": True, "timeoutMs": 15000,
            "targetLatencyMs": 300, "gapAimMs": 250, "priority": 0,
            "trafficSplit": [{"service": name, "weight": 1}
                             for name in SERVICES],
            "maxAttempts": 2, "public": False, "sticky": True}],
        "services": [{"name": name, "healthPath": "/health"}
                     for name in SERVICES],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "north", "apiKeys": [KEY], "isolated": False}]}


class Consumer:
    """Reads a stream, and takes it up elsewhere if its channel breaks."""

    def __init__(self, deployment, gateways, number):
        self.deployment, self.gateways = deployment, gateways
        self.name = f"stream-{number}"
        self.ends = time.monotonic() + DEADLINE_S
        self.last_event, self.first_request = 0, None
        # Status of each attempt, None without an answer.
        self.began, self.taken_up, self.complete = None, [], False
        self.thread = threading.Thread(target=self.follow, daemon=True)
        self.thread.start()

    def follow(self):
        self.began, pause = self.attempt(self.gateways[0], 0)
        number = 0
        while not self.complete and self.last_event and number < 4:
            number += 1
            time.sleep(max(pause, 0.2))
            if time.monotonic() > self.ends - 1:
                break
            gateway = self.gateways[1 + number % (len(self.gateways) - 1)]
            status, pause = self.attempt(gateway, number)
            self.taken_up.append(status)

    def attempt(self, gateway, number):
        request = f"{self.name}-{number}"
        left_ms = int((self.ends - time.monotonic()) * 1000)
        headers = {
            "Host": "h.example", "Request-Id": request, "Model": runner.MODEL,
            "Token-Usage": "810,60", "Deadline-Ms": str(left_ms),
            "Prompt-Prefix": f"5c1e07a2:800,{self.name}:10",
            "Authorization": "Bearer " + KEY}
        if self.last_event:
            headers |= {"Last-Event-Id": str(self.last_event),
                        "Resumes": self.first_request}
        status, pause, outcome = None, 0.0, "complete"
        text = b""
        connection = http.client.HTTPConnection(gateway.front, timeout=16)
        try:
            connection.request("POST", "/ask/1", b"prompt", headers)
            response = connection.getresponse()
            status = response.status
            pause = float(response.getheader("Retry-After", "0"))
            while part := response.read(16):
                text += part
                if status == 200 and b"\n\n" in text:
                    last = text[:text.rindex(b"\n\n")].split(b"\n\n")[-1]
                    self.last_event = int(last.split(b"\n")[0][4:])
                    self.first_request = self.first_request or request
            self.complete = status == 200
        except (OSError, http.client.HTTPException) as error:
            outcome = f"broke off: {error!r}"
        self.deployment.record(
            f"consumer gets {status} for {request} from {gateway.name}, "
            f"resumes after {headers.get('Last-Event-Id', '-')}, has event "
            f"{self.last_event}, {outcome}"
            + (f" {text.decode()}" if status != 200 else ""))
        return status, pause


def case():
    deployment = fleet.Fleet(FOLDER, store.Store, configuration())
    try:
        deployment.store.put("op", f"version/{runner.MODEL}",
                             {"model": runner.MODEL, "version": 1})
        for name in SERVICES * RUNNERS:
            one = runner.Runner(deployment.addresses.next(), deployment.store,
                                name, deployment.record, 64)
            one.events, one.event_pause_s = 80, 0.1
            deployment.add_agent(one)
        gateways = [deployment.add_gateway() for _ in range(GATEWAYS)]
        deployment.start()
        time.sleep(6)
        consumers = []
        for number in range(STREAMS):
            consumers.append(Consumer(deployment, gateways, number))
            time.sleep(0.05)
        time.sleep(2)
        if fleet.has_trouble():
            gateways[0].end()
            deployment.record(f"{gateways[0].name} is killed")
            time.sleep(1)
            gateways[0].start()
            deployment.record(f"{gateways[0].name} is started again")
        for consumer in consumers:
            consumer.thread.join(25)
        deployment.check_alive()
        begun = sum(one.began == 200 or one.last_event > 0
                    for one in consumers)
        taken = [one for one in consumers if one.taken_up]
        went_on = sum(200 in one.taken_up for one in taken)
        deployment.record(
            f"{begun} of {STREAMS} new streams began; {went_on} of "
            f"{len(taken)} streams that were taken up went on; "
            f"{sum(one.complete for one in consumers)} are whole")
        if begun < STREAMS - 2:
            raise fleet.CannotRun("the streams did not begin")
        if not fleet.has_trouble():
            return sum(one.complete for one in consumers) < STREAMS
        if len(taken) < MIN_TAKEN_UP:
            raise fleet.CannotRun("too few streams were taken up")
        return went_on / len(taken) < begun / STREAMS / 2
    finally:
        deployment.close()


if __name__ == "__main__":
    fleet.run_case(case)

"""All runners of a service crash once while prompts run, and come back."""

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

RUNNERS = 4
GATEWAYS = 2
DOWN_S = 2.0
# The part that all prompts of the kind "ask" share.
SYSTEM_PROMPT = "5c1e07a2"
IN_FLIGHT = 8
# Requests of each kind after the crash, and the time between them.
LATER, PAUSE_S = 60, 0.5
KEY = "key-north"


def route(name, kind, service):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/",
            "kind": kind, "resumable": kind == "streaming",
            "timeoutMs": 15000, "targetLatencyMs": 500, "gapAimMs": 250,
            "priority": 0, "service": service, "maxAttempts": 2,
            "public": False, "sticky": kind == "streaming"}


def configuration():
    return {
        "version": 10,
        "routes": [route("ask", "streaming", "engines"),
                   route("look", "idempotent", "ledger")],
        "services": [{"name": name, "healthPath": "/health"}
                     for name in ("engines", "ledger")],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "north", "apiKeys": [KEY], "isolated": False}]}


class Consumer:
    def __init__(self, deployment, gateway, kind, number):
        self.deployment, self.gateway = deployment, gateway
        self.kind, self.request = kind, f"{kind}-{number}"
        self.status, self.complete = None, False
        self.thread = threading.Thread(target=self.ask, daemon=True)
        self.thread.start()

    def ask(self):
        connection = http.client.HTTPConnection(self.gateway.front, timeout=16)
        outcome, pause = "complete", ""
        try:
            headers = {"Host": "h.example", "Request-Id": self.request,
                       "Deadline-Ms": "15000",
                       "Authorization": "Bearer " + KEY}
            if self.kind == "ask":
                headers |= {
                    "Model": runner.MODEL, "Token-Usage": "9190,40",
                    "Prompt-Prefix":
                        f"{SYSTEM_PROMPT}:7520,{self.request}:1670"}
            connection.request(
                "POST" if self.kind == "ask" else "GET",
                f"/{self.kind}/{self.request}",
                b"prompt" if self.kind == "ask" else None, headers)
            response = connection.getresponse()
            self.status = response.status
            pause = response.getheader("Retry-After", "")
            body = b""
            while part := response.read(64):
                body += part
            self.complete = self.status == 200
            if self.status != 200:
                outcome = f"{body.decode()} Retry-After {pause}"
        except (OSError, http.client.HTTPException) as error:
            outcome = f"broke off: {error!r}"
        self.deployment.record(
            f"consumer gets {self.status} for {self.request} from "
            f"{self.gateway.name}, {outcome}")


def case():
    deployment = fleet.Fleet(FOLDER, store.Store, configuration())
    try:
        deployment.store.put("op", f"version/{runner.MODEL}",
                             {"model": runner.MODEL, "version": 1})
        runners = [runner.Runner(deployment.addresses.next(), deployment.store,
                                 "engines", deployment.record, 64)
                   for _ in range(RUNNERS)]
        for one in runners:
            one.events, one.event_pause_s, one.prefill_s = 40, 0.1, 0.1
            deployment.add_agent(one)
        runner.Runner(deployment.addresses.next(), deployment.store, "ledger",
                      deployment.record)
        gateways = [deployment.add_gateway() for _ in range(GATEWAYS)]
        deployment.start()
        time.sleep(5)
        asked = [Consumer(deployment, gateways[n % GATEWAYS], "ask", n)
                 for n in range(IN_FLIGHT)]
        time.sleep(1)
        deployment.record(f"running: {[one.running for one in runners]}")
        if fleet.has_trouble():
            deployment.record(f"all {RUNNERS} runners crash for {DOWN_S} s")
            for one in runners:
                one.crash(DOWN_S)
        time.sleep(DOWN_S + 4)
        deployment.record("the runners are back since 4 s")
        for one in runners:
            one.events = 10
        for number in range(LATER):
            gateway = gateways[number % GATEWAYS]
            for kind in ("ask", "look"):
                asked.append(Consumer(deployment, gateway, kind,
                                      IN_FLIGHT + number))
            time.sleep(PAUSE_S)
        for one in asked:
            one.thread.join(20)
        deployment.check_alive()
        served = sum(one.complete for one in asked) / len(asked)
        kind = [one.complete for one in asked if one.kind == "ask"]
        deployment.record(
            f"of all requests {served:.2f} are served, of the kind ask "
            f"{sum(kind)} of {len(kind)}")
        if served < 0.3:
            raise fleet.CannotRun("the other kind is not served either")
        return sum(kind) / len(kind) < served / 4
    finally:
        deployment.close()


if __name__ == "__main__":
    fleet.run_case(case)

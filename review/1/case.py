"""A configuration makes a tenant isolated whose prompt parts are cached."""

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

SHARED_PART = "5c1e07a2"
APPLY_S = 2.0
KEYS = {"north": "key-north", "south": "key-south"}


def configuration(version, isolated):
    return {
        "version": version,
        "routes": [{
            "name": "ask", "host": "h.example", "pathPrefix": "/ask/",
            "kind": "streaming", "resumable": True, "timeoutMs": 5000,
            "targetLatencyMs": 500, "gapAimMs": 250, "priority": 0,
            "service": "engines", "maxAttempts": 2, "public": False,
            "sticky": True}],
        "services": [{"name": "engines", "healthPath": "/health"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": name, "apiKeys": [key],
                     "isolated": name in isolated}
                    for name, key in KEYS.items()]}


class CachingRunner(runner.Runner):
    """Finds cached parts under the same salt only, as the pages say."""

    def __init__(self, *arguments):
        self.uses = []
        super().__init__(*arguments)

    def began(self, request):
        tenant, name = request.header("Tenant"), request.header("Request-Id")
        salt = request.header("Cache-Salt")
        prefix = ()
        for entry in request.header("Prompt-Prefix").split(","):
            prefix += (entry.split(":")[0],)
            with self.lock:
                maker = self.cache.setdefault((salt, prefix), (tenant, name))
            if maker[1] != name:
                self.uses.append((time.monotonic(), tenant, maker[0]))
                self.record(f"runner {self.id} request {name} of {tenant} uses"
                            f" part {prefix[-1]} under salt {salt!r}, made by "
                            f"request {maker[1]} of {maker[0]}")


def ask(deployment, gateway, tenant, number):
    request = f"{tenant}-{number}"
    connection = http.client.HTTPConnection(gateway.front, timeout=6)
    deployment.record(f"consumer sends {request} with the key of {tenant}")
    try:
        connection.request("POST", "/ask/1", b"prompt", {
            "Host": "h.example", "Request-Id": request, "Model": runner.MODEL,
            "Token-Usage": "810,6", "Deadline-Ms": "5000",
            "Prompt-Prefix": f"{SHARED_PART}:800,{request}:10",
            "Authorization": "Bearer " + KEYS[tenant]})
        response = connection.getresponse()
        body = response.read()
        deployment.record(f"consumer gets {response.status} for {request}, "
                          f"{len(body)} bytes")
        return response.status
    except (OSError, http.client.HTTPException) as error:
        deployment.record(f"consumer gets {error!r} for {request}")
    return None


def case():
    deployment = fleet.Fleet(FOLDER, store.Store, configuration(10, ()))
    try:
        deployment.store.put("op", f"version/{runner.MODEL}",
                             {"model": runner.MODEL, "version": 1})
        runners = [CachingRunner(deployment.addresses.next(), deployment.store,
                                 "engines", deployment.record)
                   for _ in range(2)]
        gateways = [deployment.add_gateway() for _ in range(2)]
        for one in runners:
            deployment.add_agent(one)
        deployment.start()
        time.sleep(3)
        statuses = [ask(deployment, gateway, "north", number)
                    for number, gateway in enumerate(gateways * 4)]
        isolated = ("north",) if fleet.has_trouble() else ()
        deployment.name_configuration(configuration(13, isolated))
        in_force = time.monotonic() + APPLY_S
        time.sleep(APPLY_S + 2)
        statuses += [ask(deployment, gateway, "south", number)
                     for number, gateway in enumerate(gateways * 4)]
        deployment.check_alive()
        if statuses.count(200) < len(statuses) - 2:
            raise fleet.CannotRun(f"statuses {statuses}")
        foreign = [use for one in runners for use in one.uses
                   if use[0] > in_force and use[1] != use[2]
                   and (use[1] in isolated or use[2] in isolated)]
        deployment.record(f"{len(foreign)} uses of memory across the wall of "
                          f"an isolated tenant")
        return bool(foreign)
    finally:
        deployment.close()


if __name__ == "__main__":
    fleet.run_case(case)

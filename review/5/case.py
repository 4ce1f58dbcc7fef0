"""A runner leaves shortly after a gateway has reached the store again."""

import http.client
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))

import fleet
import proxy
import runner
import store

CUT_S = 6.4
# From the end of the cut to the removal of the runner's entry.
LEAVES_AFTER_S = 1.3
CONTACT_S, DRAIN_S = 3.0, 2.0
# From the removal to the requests, and to the exit of the runner.
ASKED_AFTER_S, EXITS_AFTER_S = 2.1, 2.35
REQUESTS = 12
KEY = "key-north"


def configuration():
    return {
        "version": 10,
        "routes": [{
            "name": "file", "host": "h.example", "pathPrefix": "/file/",
            "kind": "non_idempotent", "resumable": False, "timeoutMs": 5000,
            "targetLatencyMs": 500, "gapAimMs": 0, "priority": 0,
            "service": "ledger", "maxAttempts": 1, "public": False}],
        "services": [{"name": "ledger", "healthPath": "/health"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "north", "apiKeys": [KEY], "isolated": False}]}


class DatedRunner(runner.Runner):
    def __init__(self, *arguments):
        self.arrivals = []
        super().__init__(*arguments)

    def began(self, request):
        self.arrivals.append((time.monotonic(), request.header("Request-Id")))


def file_request(deployment, gateway, request, statuses):
    connection = http.client.HTTPConnection(gateway.front, timeout=6)
    try:
        connection.request("POST", "/file/1", request.encode(), {
            "Host": "h.example", "Request-Id": request, "Deadline-Ms": "5000",
            "Authorization": "Bearer " + KEY})
        response = connection.getresponse()
        response.read()
        statuses[request] = response.status
    except (OSError, http.client.HTTPException) as error:
        statuses[request] = repr(error)
    deployment.record(f"consumer gets {statuses[request]} for {request}")


def file_all(deployment, gateway, name, statuses):
    threads = [threading.Thread(
        target=file_request, daemon=True,
        args=(deployment, gateway, f"{name}-{number}", statuses))
        for number in range(REQUESTS)]
    for thread in threads:
        thread.start()
    return threads


def case():
    deployment = fleet.Fleet(FOLDER, store.Store, configuration())
    try:
        runners = [DatedRunner(deployment.addresses.next(), deployment.store,
                               "ledger", deployment.record)
                   for _ in range(2)]
        link = proxy.Proxy(deployment.addresses.next(),
                           deployment.store.address)
        gateway = deployment.add_gateway(link.address)
        deployment.start()
        time.sleep(3.5)
        statuses = {}
        for thread in file_all(deployment, gateway, "before", statuses):
            thread.join(8)
        if set(statuses.values()) != {200}:
            raise fleet.CannotRun(f"before the cut: {statuses}")
        if fleet.has_trouble():
            link.is_cut = True
            deployment.record(f"the gateway is cut off from the store")
        time.sleep(CUT_S)
        link.is_cut = False
        healed = time.monotonic()
        deployment.record("the gateway reaches the store")
        time.sleep(LEAVES_AFTER_S)
        leaving = runners[0]
        leaving.leaving = True
        leaving.unlist()
        left = time.monotonic()
        deployment.record(f"the store confirms that {leaving.id} is gone")
        for one in runners:
            one.work_s = 0.3
        time.sleep(ASKED_AFTER_S)
        threads = file_all(deployment, gateway, "after", statuses)
        time.sleep(EXITS_AFTER_S - ASKED_AFTER_S)
        leaving.exit()
        deployment.record(f"runner {leaving.id} exits")
        for thread in threads:
            thread.join(8)
        deployment.check_alive()
        late = [(f"{at - left:.3f} s", name) for at, name in leaving.arrivals
                if at > left + DRAIN_S and at > healed + CONTACT_S]
        lost = [name for name, status in statuses.items()
                if name.startswith("after") and status != 200]
        deployment.record(f"reached the runner that had gone: {late}; "
                          f"not served: {lost}")
        return bool(late)
    finally:
        deployment.close()


if __name__ == "__main__":
    fleet.run_case(case)

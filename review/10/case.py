"""A service that files coupons answers some filings with 503 after it has run
them. Their callers file again, as a 503 lets them."""

import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from harness import (CannotRun, Caller, Deployment, Runner, TROUBLE,  # noqa
                     encode_request, encode_response, lookup, main, route,
                     time)

FILINGS = 40
# Share of the filings that fail after they have run.
FAILING_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


class Ledger(Runner):
    """Runs each filing, and fails some of them afterwards. Says Not-Executed
    for none of these."""

    fails_with = 503

    def answer(self, connection, method, target, headers, body):
        request = lookup(headers, "Request-Id", "")
        number = int(request.split("-")[1])
        fails = request.endswith("-1") and \
            number % 10 < 10 * FAILING_SHARE
        if fails:
            connection.sendall(encode_response(
                self.fails_with, self.proof(request), b"try again"))
            return
        super().answer(connection, method, target, headers, body)


def check(record):
    Ledger.fails_with = 503 if TROUBLE else 500
    with Deployment([route("issue", "non_idempotent", "ledger")],
                    record) as deployment:
        ledgers = [deployment.add_runner(Ledger, "ledger", number)
                   for number in range(2)]
        gateway = deployment.add_gateway(1)
        deployment.wait_ready(gateway)
        refused_and_run = []
        filed_twice = []
        for filing in range(FILINGS):
            runs = 0
            # The caller's consumer attempts, each under an id of its own.
            for attempt in (1, 2):
                request = f"f-{filing}-{attempt}"
                deployment.note(f"caller sends POST /issue/{filing} {request}")
                caller = Caller(gateway)
                caller.send(encode_request("POST", f"/issue/{filing}", request,
                                           body=b"coupon"))
                status, _, body = caller.receive()
                caller.close()
                deployment.note(f"{request} got {status} {body!r}")
                ran = sum(ledger.runs[request] for ledger in ledgers)
                runs += ran
                if status in PROMISES and ran:
                    refused_and_run.append(request)
                if status not in PROMISES:
                    break
                time.sleep(0.1)
            if runs > 1:
                filed_twice.append(filing)
        if not any(ledger.runs for ledger in ledgers):
            raise CannotRun("no filing ran")
        deployment.note(f"answered as not run, but run: {refused_and_run}")
        deployment.note(f"coupons that were issued twice: {filed_twice}")
        return not refused_and_run


main(check, FOLDER)
